package ochretiller.fleet.service;

import java.time.Duration;
import java.util.Map;
import ochretiller.collections.BoundedMap;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.rollout.RolloutMessage;

/**
 * Records on an acceptor the last record number and hash of other servers' audit logs, so that a
 * truncated or rewritten log can be detected by comparison. Confined to the event loop.
 */
final class AuditWitness {
    private static final Duration WITNESS_INTERVAL = Duration.ofSeconds(10);
    private static final int MAX_WITNESSED_SERVERS = 4_096;

    private final String serverName;
    private final VersionActivator activator;
    private final Map<String, Duration> witnessedAt =
            BoundedMap.evictingLeastRecentlyUsed(MAX_WITNESSED_SERVERS);

    AuditWitness(String serverName, VersionActivator activator) {
        this.serverName = serverName;
        this.activator = activator;
    }

    /** Records a server's audit position, at most once per interval. */
    void witness(
            String server,
            RolloutMessage.StatusReport report,
            PublishedVersion active,
            Duration now) {
        boolean hasLog = report.auditRecordNumber() != 0;
        if (!hasLog || server.equals(serverName) || isRecent(server, now)) {
            return;
        }
        witnessedAt.put(server, now);
        activator.recordEvent(
                RolloutEvent.PEER_AUDIT_WITNESSED,
                active,
                server + ' ' + report.auditRecordNumber() + ' ' + report.auditHash());
    }

    private boolean isRecent(String server, Duration now) {
        Duration last = witnessedAt.get(server);
        return last != null && now.minus(last).compareTo(WITNESS_INTERVAL) < 0;
    }
}
