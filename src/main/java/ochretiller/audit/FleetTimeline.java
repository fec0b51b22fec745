package ochretiller.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * What the audits of several servers tell together. What is not known is an interval of its own:
 * between two periods, behind a fault of a chain, while a process was away. Not safe for several
 * threads.
 */
public final class FleetTimeline {
    /** A peer's name, the number of its last record, that record's hash. */
    private static final int WITNESS_WORDS = 3;

    private final Map<String, List<AuditRecord>> recordsByServer = new TreeMap<>();

    /**
     * Collects what one server's records know of where the audits of its peers ended.
     *
     * @param headsByServer heads by the peer's name, to which what is found is added
     */
    public static void collectWitnessedHeads(
            List<AuditRecord> records, Map<String, List<ChainHead>> headsByServer) {
        for (AuditRecord record : records) {
            if (record instanceof AuditEvent event
                    && event.kind() == AuditEventKind.PEER_AUDIT_WITNESSED) {
                String[] words = event.text().split(" ");
                if (words.length == WITNESS_WORDS) {
                    ChainHead head = new ChainHead(Long.parseLong(words[1]), words[2]);
                    headsByServer.computeIfAbsent(words[0], ignored -> new ArrayList<>()).add(head);
                }
            }
        }
    }

    /** Adds a server's records, oldest first. */
    public FleetTimeline addServer(String server, List<AuditRecord> records) {
        recordsByServer.put(server, List.copyOf(records));
        return this;
    }

    /**
     * Each server's intervals between two times, without holes, by server and then by time. Times
     * are Unix milliseconds.
     */
    public List<TimelineInterval> intervals(long fromMillis, long toMillis) {
        List<TimelineInterval> all = new ArrayList<>();
        recordsByServer.forEach(
                (server, records) ->
                        all.addAll(
                                new ServerIntervals(server, fromMillis, toMillis).build(records)));
        return all;
    }

    /**
     * Which servers acted on a version between two times, or may have: those of which not all is
     * known are among them.
     */
    public Map<String, VersionStatus> serversOnVersion(
            long version, long fromMillis, long toMillis) {
        Map<String, VersionStatus> statusByServer = new TreeMap<>();
        for (TimelineInterval interval : intervals(fromMillis, toMillis)) {
            if (interval.status() == VersionStatus.UNKNOWN) {
                statusByServer.putIfAbsent(interval.server(), VersionStatus.UNKNOWN);
            } else if (interval.version() == version) {
                statusByServer.merge(
                        interval.server(), interval.status(), FleetTimeline::moreTelling);
            }
        }
        return statusByServer;
    }

    private static VersionStatus moreTelling(VersionStatus earlier, VersionStatus later) {
        boolean wasActive = earlier == VersionStatus.ACTIVE || later == VersionStatus.ACTIVE;
        return wasActive ? VersionStatus.ACTIVE : later;
    }

    /** Runs of a token on any server, oldest first. */
    public List<TokenRun> runsOfToken(String token) {
        List<TokenRun> runs = new ArrayList<>();
        recordsByServer.forEach(
                (server, records) -> {
                    for (AuditRecord record : records) {
                        if (record instanceof KeyedRun run && run.token().equals(token)) {
                            runs.add(new TokenRun(server, run.version(), run.atMillis()));
                        }
                    }
                });
        runs.sort(Comparator.comparingLong(TokenRun::atMillis));
        return runs;
    }

    /**
     * Milliseconds for which each server acted on an older version than the newest that any server
     * acted on at that time.
     */
    public Map<String, Long> stragglerMillis(long fromMillis, long toMillis) {
        List<TimelineInterval> intervals = intervals(fromMillis, toMillis);
        NavigableMap<Long, Long> firstActiveMillis = new TreeMap<>();
        for (TimelineInterval interval : intervals) {
            if (interval.status() == VersionStatus.ACTIVE) {
                firstActiveMillis.merge(interval.version(), interval.startMillis(), Math::min);
            }
        }
        Map<String, Long> millisByServer = new TreeMap<>();
        for (TimelineInterval interval : intervals) {
            long behind = millisBehind(interval, firstActiveMillis);
            if (behind > 0) {
                millisByServer.merge(interval.server(), behind, Long::sum);
            }
        }
        return millisByServer;
    }

    private static long millisBehind(
            TimelineInterval interval, NavigableMap<Long, Long> firstActiveMillis) {
        if (interval.status() == VersionStatus.UNKNOWN) {
            return 0;
        }
        long newerSince =
                firstActiveMillis.tailMap(interval.version(), false).values().stream()
                        .mapToLong(Long::longValue)
                        .min()
                        .orElse(Long.MAX_VALUE);
        return interval.endMillis() - Math.max(interval.startMillis(), newerSince);
    }
}
