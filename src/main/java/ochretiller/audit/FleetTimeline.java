package ochretiller.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the records of several servers tell together. What is not known is told as a stretch of its
 * own: between two spans, behind a fault of a chain, while a process was away.
 */
public final class FleetTimeline {
    /**
     * Between the end of one span and the start of the next that much may pass without anything
     * being missing.
     */
    private static final long JOINT_MS = 1_000;

    private final Map<String, List<AuditRecord>> servers = new TreeMap<>();

    /** One stretch of a server's time. */
    public record TimelineInterval(
            String server,
            long startMillis,
            long endMillis,
            VersionStatus status,
            long version,
            String text) {}

    /** How well a stretch is known. */
    public enum VersionStatus {
        /** It acted on this version. */
        ACTIVE("ACTED"),
        /** Keyed work was shut out there. */
        FENCED("SHUT_OUT"),
        /** Nothing was recorded: the process was away, or its records are lost. */
        UNKNOWN("UNKNOWN");

        private final String externalName;

        VersionStatus(String externalName) {
            this.externalName = externalName;
        }

        /** The word by which JSON names it; it stays whatever the constant is called. */
        public String externalName() {
            return externalName;
        }
    }

    /** A run of a token, as one server has it. */
    public record TokenRun(String server, long version, long atMillis) {}

    /** Adds what these records know of where others' audits ended, by their names. */
    public static void collectWitnessedHeads(
            List<AuditRecord> entries, Map<String, List<HashChain.ChainHead>> known) {
        for (AuditRecord entry : entries) {
            if (!(entry instanceof AuditRecord.AuditEvent event)
                    || event.kind() != AuditRecord.AuditEventKind.PEER_AUDIT_WITNESSED) {
                continue;
            }
            String[] words = event.text().split(" ");
            if (words.length == 3) {
                known.computeIfAbsent(words[0], ignored -> new ArrayList<>())
                        .add(new HashChain.ChainHead(Long.parseLong(words[1]), words[2]));
            }
        }
    }

    /** A server's records, oldest first. */
    public FleetTimeline addServer(String server, List<AuditRecord> entries) {
        servers.put(server, List.copyOf(entries));
        return this;
    }

    /** Each server's stretches between two times, one behind the other, without holes. */
    public List<TimelineInterval> intervals(long fromMs, long toMs) {
        List<TimelineInterval> all = new ArrayList<>();
        servers.forEach((server, entries) -> all.addAll(one(server, entries, fromMs, toMs)));
        return all;
    }

    private static List<TimelineInterval> one(
            String server, List<AuditRecord> entries, long fromMs, long toMs) {
        List<TimelineInterval> all = new ArrayList<>();
        long at = fromMs;
        String missing = "nothing was recorded";
        boolean shut = false;
        for (AuditRecord entry : entries) {
            if (entry instanceof AuditRecord.AuditEvent event) {
                switch (event.kind()) {
                    case FENCED -> shut = true;
                    case UNFENCED, STARTED -> shut = false;
                    case RECORDS_LOST -> missing = "records were lost: " + event.text();
                    default -> {}
                }
                if (event.kind() == AuditRecord.AuditEventKind.STARTED) {
                    missing = "its process was away, or ended without a word";
                }
                continue;
            }
            if (!(entry instanceof AuditRecord.VersionPeriod span)) {
                continue;
            }
            long begins = Math.max(fromMs, span.startMillis());
            long ends = Math.min(toMs, span.endMillis());
            if (ends <= begins) {
                continue;
            }
            if (begins - at > JOINT_MS) {
                all.add(
                        new TimelineInterval(
                                server, at, begins, VersionStatus.UNKNOWN, 0, missing));
            }
            if (begins > at && begins - at <= JOINT_MS) {
                begins = at;
            }
            // A clock that was set back makes spans overlap: what was told first stands, the rest
            // goes on behind it.
            begins = Math.max(begins, at);
            if (ends > begins) {
                String text =
                        span.clockStepMillis() == 0
                                ? ""
                                : "its clock was set by "
                                        + span.clockStepMillis()
                                        + " ms meanwhile";
                all.add(
                        new TimelineInterval(
                                server,
                                begins,
                                ends,
                                shut ? VersionStatus.FENCED : VersionStatus.ACTIVE,
                                span.version(),
                                text));
                at = ends;
            }
            missing = "nothing was recorded";
        }
        if (toMs - at > JOINT_MS) {
            all.add(
                    new TimelineInterval(
                            server,
                            at,
                            toMs,
                            VersionStatus.UNKNOWN,
                            0,
                            "nothing is recorded yet, or it is lost"));
        }
        return all;
    }

    /** Which servers acted on a version between two times, and which may have. */
    public Map<String, VersionStatus> serversOnVersion(long version, long fromMs, long toMs) {
        Map<String, VersionStatus> all = new TreeMap<>();
        for (TimelineInterval each : intervals(fromMs, toMs)) {
            if (each.status() == VersionStatus.UNKNOWN) {
                all.putIfAbsent(each.server(), VersionStatus.UNKNOWN);
            } else if (each.version() == version) {
                all.merge(
                        each.server(),
                        each.status(),
                        (a, b) ->
                                a == VersionStatus.ACTIVE || b == VersionStatus.ACTIVE
                                        ? VersionStatus.ACTIVE
                                        : b);
            }
        }
        return all;
    }

    /** Runs of a token, oldest first. */
    public List<TokenRun> runsOfToken(String token) {
        List<TokenRun> all = new ArrayList<>();
        servers.forEach(
                (server, entries) -> {
                    for (AuditRecord each : entries) {
                        if (each instanceof AuditRecord.KeyedRun run && run.token().equals(token)) {
                            all.add(new TokenRun(server, run.version(), run.atMillis()));
                        }
                    }
                });
        all.sort((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
        return all;
    }

    /**
     * How long each server acted on something older than the newest that any server acted on at
     * that time, milliseconds.
     */
    public Map<String, Long> stragglerMillis(long fromMs, long toMs) {
        List<TimelineInterval> all = intervals(fromMs, toMs);
        Map<Long, Long> firstAt = new TreeMap<>();
        for (TimelineInterval each : all) {
            if (each.status() == VersionStatus.ACTIVE) {
                firstAt.merge(each.version(), each.startMillis(), Math::min);
            }
        }
        Map<String, Long> behind = new TreeMap<>();
        for (TimelineInterval each : all) {
            if (each.status() == VersionStatus.UNKNOWN) {
                continue;
            }
            long newerAt =
                    firstAt.entrySet().stream()
                            .filter(other -> other.getKey() > each.version())
                            .mapToLong(Map.Entry::getValue)
                            .min()
                            .orElse(Long.MAX_VALUE);
            long late = each.endMillis() - Math.max(each.startMillis(), newerAt);
            if (late > 0) {
                behind.merge(each.server(), late, Long::sum);
            }
        }
        return behind;
    }
}
