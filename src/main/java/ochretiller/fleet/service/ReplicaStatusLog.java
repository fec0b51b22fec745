package ochretiller.fleet.service;

import java.time.Duration;
import java.util.logging.Logger;
import ochretiller.fleet.replication.DurabilityBarrier;
import ochretiller.fleet.replication.Replica;

/**
 * Writes the log lines about a replica that operators wait for: one when a state begins and one
 * when it ends. On the event loop.
 */
final class ReplicaStatusLog {
    private static final Logger LOG = Logger.getLogger(ReplicationService.class.getName());

    /** Conflicts that get a line each. */
    private static final int MAX_CONFLICT_LOG_LINES = 20;

    private boolean wasCheckingDisk;
    private boolean wasLagging;
    private boolean wasDegraded;
    private Duration laggingSince = Duration.ZERO;
    private int conflictLines;

    /** Writes lines about states that have changed since the last call. */
    void update(Replica replica, DurabilityBarrier barrier, Duration now) {
        updateDiskCheck(replica);
        updateLagging(replica, now);
        updateDegraded(barrier);
    }

    private void updateDiskCheck(Replica replica) {
        boolean isCheckingDisk = replica.isCheckingDisk();
        if (wasCheckingDisk && !isCheckingDisk) {
            LOG.info(
                    replica.statistics().staleDisks() > 0
                            ? "fleet: the disk is older than this server's last word: what it kept"
                                    + " is fetched from the others"
                            : "fleet: nobody knows of a later word than the disk has: it counts as"
                                    + " a keeper");
        }
        wasCheckingDisk = isCheckingDisk;
    }

    private void updateLagging(Replica replica, Duration now) {
        int laggingRanges = replica.laggingRangeCount();
        boolean isLagging = laggingRanges > 0;
        if (isLagging && !wasLagging) {
            laggingSince = now;
            LOG.info("fleet: fetches " + laggingRanges + " ranges");
        }
        if (!isLagging && wasLagging) {
            LOG.info(
                    "fleet: has all its ranges whole, behind "
                            + now.minus(laggingSince).toMillis()
                            + " ms; fetched "
                            + replica.statistics().receivedEntries()
                            + " entries since its start");
        }
        wasLagging = isLagging;
    }

    private void updateDegraded(DurabilityBarrier barrier) {
        boolean isDegraded = barrier.isDegraded();
        if (isDegraded != wasDegraded) {
            LOG.warning(
                    isDegraded
                            ? "fleet: the disk does not take what this server keeps: it says"
                                    + " nothing as a keeper"
                            : "fleet: the disk takes what this server keeps again");
        }
        wasDegraded = isDegraded;
    }

    /** Writes a line for each new conflict, up to a limit. */
    void reportConflicts(Replica replica) {
        for (String token : replica.takeConflictingTokens()) {
            conflictLines++;
            if (conflictLines > MAX_CONFLICT_LOG_LINES) {
                return;
            }
            LOG.severe(
                    () ->
                            "fleet: token "
                                    + token
                                    + " has two ends, which must not be: "
                                    + replica.entry(token).outcomes().keySet()
                                    + "; it is answered with the first");
        }
    }
}
