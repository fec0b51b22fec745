package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Hands ranges over between epochs. A new replica of a range lags until it has pulled the range
 * from a majority of the previous replicas. Its requests make them adopt the epoch, after which
 * they grant nothing in the old one. Any majority that granted a claim before intersects that
 * majority, so no grant is missed. Not thread-safe; callers pass the time.
 */
final class EpochHandover {
    private final ReplicaState state;
    private final AntiEntropy antiEntropy;
    private final DiskFreshnessCheck diskCheck;

    EpochHandover(ReplicaState state, AntiEntropy antiEntropy, DiskFreshnessCheck diskCheck) {
        this.state = state;
        this.antiEntropy = antiEntropy;
        this.diskCheck = diskCheck;
    }

    /**
     * Adopts a later epoch, and starts the catch-up of ranges whose replicas have changed; older
     * epochs are ignored.
     */
    void adopt(ReplicaPlacement next, Duration now) {
        if (next.epoch() <= state.epoch()) {
            return;
        }
        boolean consecutive = next.epoch() == state.epoch() + 1;
        state.adopt(next);
        state.unreliableRanges().clear();
        Set<Integer> laggingBefore = antiEntropy.laggingRanges().all();
        antiEntropy.resetForEpoch();
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            // A replica whose disk check has not ended may have lost claims that it granted.
            boolean reliable =
                    consecutive && !laggingBefore.contains(range) && !diskCheck.isInProgress();
            adopt(range, consecutive, reliable, now);
        }
    }

    private void adopt(int range, boolean consecutive, boolean reliable, Duration now) {
        List<String> replicas = state.placement().replicasOf(range);
        List<String> previous = state.placement().previousReplicasOf(range);
        boolean wasReplica = previous.contains(state.name());
        if (wasReplica && !reliable) {
            state.unreliableRanges().add(range);
        }
        if (!replicas.contains(state.name())) {
            antiEntropy.markComplete(range);
            return;
        }
        // A replica that skipped an epoch is treated as if it had not replicated the range before.
        boolean sameReplicas = consecutive && Set.copyOf(previous).equals(Set.copyOf(replicas));
        if (!previous.isEmpty() && !sameReplicas) {
            catchUpFromPreviousEpoch(range, wasReplica && reliable, now);
        }
    }

    /** Starts the catch-up of a range from a majority of its replicas in the previous epoch. */
    private void catchUpFromPreviousEpoch(int range, boolean ownCopyReliable, Duration now) {
        List<String> previous = state.placement().previousReplicasOf(range);
        int required = ReplicaPlacement.quorumSize(previous.size());
        antiEntropy.startCatchUp(range, catchUp(previous, required, false, now), ownCopyReliable);
        state.markMetadataChanged();
    }

    /**
     * Recovers a range in which this replica may have lost claims that it granted. Pulls from all
     * other replicas, since only all of them together intersect every majority that this replica
     * was part of.
     */
    private void recoverLostGrants(int range, Duration now) {
        state.markMetadataChanged();
        if (state.placement().previousReplicasOf(range).contains(state.name())) {
            state.unreliableRanges().add(range);
        }
        List<String> peers = state.peersOf(range);
        if (!peers.isEmpty()) {
            antiEntropy.startCatchUp(range, catchUp(peers, peers.size(), true, now), false);
        }
    }

    private RangeCatchUp catchUp(
            List<String> sources, int required, boolean mayHaveLostGrants, Duration now) {
        Duration deadline = now.plus(state.limits().maxWindow());
        return new RangeCatchUp(sources, required, mayHaveLostGrants, now, deadline);
    }

    /** Recovers every range, after the disk was lost or found to be stale. */
    void recoverAll(Duration now) {
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            recoverLostGrants(range, now);
        }
    }

    /** Resumes the catch-ups that a previous process of this replica had not finished. */
    void resume(Set<Integer> laggingRanges, Set<Integer> lostGrantRanges, Duration now) {
        for (int range : laggingRanges) {
            if (lostGrantRanges.contains(range)) {
                recoverLostGrants(range, now);
            } else {
                catchUpFromPreviousEpoch(range, false, now);
            }
        }
    }

    /**
     * Returns whether other replicas may rely on this one to have a complete copy of a range, as a
     * replica of the range in this epoch or in the previous one.
     */
    boolean isReliableSource(int range) {
        if (state.unreliableRanges().contains(range) || diskCheck.isInProgress()) {
            return false;
        }
        if (antiEntropy.laggingRanges().contains(range)) {
            return antiEntropy.isOwnCopyReliable(range);
        }
        return state.replicates(range)
                || state.placement().previousReplicasOf(range).contains(state.name());
    }
}
