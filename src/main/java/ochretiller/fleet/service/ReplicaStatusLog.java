package ochretiller.fleet.service;

import java.time.Duration;
import java.util.logging.Logger;
import ochretiller.fleet.replication.DurabilityBarrier;
import ochretiller.fleet.replication.Replica;

/**
 * Logs a replica's status for operators: one line when a condition starts and one when it ends.
 * Confined to the event loop.
 */
final class ReplicaStatusLog {
    private static final Logger LOG = Logger.getLogger(ReplicationService.class.getName());

    /** Maximum number of conflicts that are logged. */
    private static final int MAX_CONFLICT_LOG_LINES = 20;

    private boolean wasCheckingDisk;
    private boolean wasLagging;
    private boolean wasDegraded;
    private Duration laggingSince = Duration.ZERO;
    private int conflictLines;

    /** Logs conditions that have changed since the last call. */
    void logChanges(Replica replica, DurabilityBarrier barrier, Duration now) {
        logDiskCheck(replica);
        logLagging(replica, now);
        logDegraded(barrier);
    }

    private void logDiskCheck(Replica replica) {
        boolean isCheckingDisk = replica.isCheckingDisk();
        if (wasCheckingDisk && !isCheckingDisk) {
            LOG.info(
                    replica.statistics().staleDisks() > 0
                            ? "fleet: the replica's disk lacks changes that other replicas have"
                                    + " seen; fetching entries from them"
                            : "fleet: no other replica reports changes that the disk lacks; this"
                                    + " replica votes again");
        }
        wasCheckingDisk = isCheckingDisk;
    }

    private void logLagging(Replica replica, Duration now) {
        int laggingRanges = replica.laggingRangeCount();
        boolean isLagging = laggingRanges > 0;
        if (isLagging && !wasLagging) {
            laggingSince = now;
            LOG.info("fleet: fetching " + laggingRanges + " ranges from other replicas");
        }
        if (!isLagging && wasLagging) {
            LOG.info(
                    "fleet: all ranges are complete after "
                            + now.minus(laggingSince).toMillis()
                            + " ms; fetched "
                            + replica.statistics().receivedEntries()
                            + " entries since the start");
        }
        wasLagging = isLagging;
    }

    private void logDegraded(DurabilityBarrier barrier) {
        boolean isDegraded = barrier.isDegraded();
        if (isDegraded != wasDegraded) {
            LOG.warning(
                    isDegraded
                            ? "fleet: cannot write the replica's changes to disk; its messages"
                                    + " are withheld"
                            : "fleet: the replica's changes are written to disk again");
        }
        wasDegraded = isDegraded;
    }

    /** Logs each new conflict, up to a limit. */
    void logConflicts(Replica replica) {
        for (String token : replica.takeConflictingTokens()) {
            conflictLines++;
            if (conflictLines > MAX_CONFLICT_LOG_LINES) {
                return;
            }
            LOG.severe(
                    () ->
                            "fleet: token "
                                    + token
                                    + " has conflicting outcomes of the claims "
                                    + replica.entry(token).outcomes().keySet()
                                    + "; the first one is replayed");
        }
    }
}
