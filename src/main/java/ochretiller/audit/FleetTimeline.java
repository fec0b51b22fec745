package ochretiller.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Combines the audits of several servers into one timeline. Time without records is an interval of
 * its own: between two periods, after a chain fault, or while a process was down. Not thread-safe.
 */
public final class FleetTimeline {
    /** Fields of a witness event: a peer's name, the number and the hash of its last record. */
    private static final int WITNESS_FIELD_COUNT = 3;

    private final Map<String, List<AuditRecord>> recordsByServer = new TreeMap<>();

    /**
     * Collects the chain heads of peers that one server's audit has recorded.
     *
     * @param headsByServer heads by peer name, to which the collected ones are added
     */
    public static void collectWitnessedHeads(
            List<AuditRecord> records, Map<String, List<ChainHead>> headsByServer) {
        for (AuditRecord record : records) {
            if (record instanceof AuditEvent event
                    && event.kind() == AuditEventKind.PEER_AUDIT_WITNESSED) {
                String[] fields = event.text().split(" ");
                if (fields.length == WITNESS_FIELD_COUNT) {
                    ChainHead head = new ChainHead(Long.parseLong(fields[1]), fields[2]);
                    headsByServer
                            .computeIfAbsent(fields[0], ignored -> new ArrayList<>())
                            .add(head);
                }
            }
        }
    }

    /** Adds a server's records, oldest first, and returns this timeline. */
    public FleetTimeline addServer(String server, List<AuditRecord> records) {
        recordsByServer.put(server, List.copyOf(records));
        return this;
    }

    /**
     * Returns the intervals of all servers between two times in Unix milliseconds, without gaps,
     * ordered by server and then by time.
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
     * Returns the servers on which a version was active between two times in Unix milliseconds, and
     * as {@link VersionStatus#UNKNOWN} those on which it may have been, due to unrecorded time.
     */
    public Map<String, VersionStatus> serversOnVersion(
            long version, long fromMillis, long toMillis) {
        Map<String, VersionStatus> statusByServer = new TreeMap<>();
        for (TimelineInterval interval : intervals(fromMillis, toMillis)) {
            if (interval.status() == VersionStatus.UNKNOWN) {
                statusByServer.putIfAbsent(interval.server(), VersionStatus.UNKNOWN);
            } else if (interval.version() == version) {
                statusByServer.merge(
                        interval.server(), interval.status(), FleetTimeline::preferActive);
            }
        }
        return statusByServer;
    }

    private static VersionStatus preferActive(VersionStatus earlier, VersionStatus later) {
        boolean wasActive = earlier == VersionStatus.ACTIVE || later == VersionStatus.ACTIVE;
        return wasActive ? VersionStatus.ACTIVE : later;
    }

    /** Returns the runs of a token on all servers, oldest first. */
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
     * Returns the milliseconds during which a server's active version was older than the newest one
     * active on any server, by server name. Servers without such time are absent.
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
            long lagMillis = millisBehind(interval, firstActiveMillis);
            if (lagMillis > 0) {
                millisByServer.merge(interval.server(), lagMillis, Long::sum);
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
