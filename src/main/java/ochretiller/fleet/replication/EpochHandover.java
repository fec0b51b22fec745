package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Hands ranges over between epochs. A new replica of a range lags until it has heard a majority of
 * the previous replicas completely; those adopt the epoch by being asked, and grant nothing in the
 * old one from then on. Any majority that granted a claim before has a member in common with the
 * majority that was asked, so no granted claim is missed. Not thread-safe; time is handed in.
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
        Set<Integer> laggingBefore = antiEntropy.lagging().all();
        antiEntropy.resetForEpoch();
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            // A replica that has yet to hear whether its disk is stale may have forgotten claims
            // that it granted.
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
        // Who has missed an epoch in between is as one that never was a replica of the range.
        boolean sameReplicas = consecutive && Set.copyOf(previous).equals(Set.copyOf(replicas));
        if (!previous.isEmpty() && !sameReplicas) {
            catchUpFromPreviousEpoch(range, wasReplica && reliable, now);
        }
    }

    /**
     * Starts the catch-up of a range from a majority of the replicas that it had in the previous
     * epoch.
     */
    private void catchUpFromPreviousEpoch(int range, boolean ownCopyCounts, Duration now) {
        List<String> previous = state.placement().previousReplicasOf(range);
        int required = ReplicaPlacement.quorumSize(previous.size());
        antiEntropy.startCatchUp(range, catchUp(previous, required, false, now), ownCopyCounts);
        state.markMetadataChanged();
    }

    /**
     * Recovers a range in which this replica may have forgotten claims that it granted: all other
     * replicas have to be heard, since only with all of them every majority that it may have been
     * part of is met.
     */
    private void recoverForgotten(int range, Duration now) {
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
            List<String> sources, int required, boolean mayHaveForgotten, Duration now) {
        Duration deadline = now.plus(state.limits().maxWindow());
        return new RangeCatchUp(sources, required, mayHaveForgotten, now, deadline);
    }

    /** Recovers every range, after the disk was lost or found to be stale. */
    void recoverAll(Duration now) {
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            recoverForgotten(range, now);
        }
    }

    /** Resumes the catch-ups that a previous process of this replica had not finished. */
    void resume(Set<Integer> laggingRanges, Set<Integer> forgottenRanges, Duration now) {
        for (int range : laggingRanges) {
            if (forgottenRanges.contains(range)) {
                recoverForgotten(range, now);
            } else {
                catchUpFromPreviousEpoch(range, false, now);
            }
        }
    }

    /**
     * Returns whether others may rely on this replica for all of a range, as of this epoch or the
     * previous one.
     */
    boolean isReliableSource(int range) {
        if (state.unreliableRanges().contains(range) || diskCheck.isInProgress()) {
            return false;
        }
        if (antiEntropy.lagging().contains(range)) {
            return antiEntropy.ownCopyCounts(range);
        }
        return state.replicates(range)
                || state.placement().previousReplicasOf(range).contains(state.name());
    }
}
