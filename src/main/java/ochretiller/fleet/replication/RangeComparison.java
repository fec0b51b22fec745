package ochretiller.fleet.replication;

import java.util.List;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Compares ranges with other replicas by digest, continuously and at a rate that does not depend on
 * the differences, and requests repairs from {@link AntiEntropy}. Not thread-safe; the caller
 * passes the random generator.
 */
final class RangeComparison {
    private final ReplicaState state;
    private final AntiEntropy antiEntropy;
    private long comparisons;
    private long differences;

    RangeComparison(ReplicaState state, AntiEntropy antiEntropy) {
        this.state = state;
        this.antiEntropy = antiEntropy;
    }

    /** Returns how many random comparisons this replica has started. */
    long comparisons() {
        return comparisons;
    }

    /** Returns how many comparisons, started by either side, found a difference. */
    long differences() {
        return differences;
    }

    /**
     * Compares a random range with a random other replica of it; does nothing if this server does
     * not replicate the range.
     */
    void compareRandomRange(RandomGenerator random) {
        int range = random.nextInt(ReplicaPlacement.RANGE_COUNT);
        List<String> peers = state.peersOf(range);
        if (peers.isEmpty()) {
            return;
        }
        comparisons++;
        state.outbox()
                .send(peers.get(random.nextInt(peers.size())), state.rangeDigest(range, false));
    }

    /**
     * Schedules a comparison of each replicated range with each of its other replicas; returns the
     * number of comparisons.
     */
    int scheduleAll() {
        int scheduled = 0;
        for (int range = 0; range < ReplicaPlacement.RANGE_COUNT; range++) {
            for (String peer : state.peersOf(range)) {
                state.hints().schedule(peer, range);
                scheduled++;
            }
        }
        return scheduled;
    }

    /** Starts the scheduled comparisons that are due. */
    void tick() {
        for (HandoffHints.DueComparison due : state.hints().takeDue(state.placement())) {
            state.outbox().send(due.replica(), state.rangeDigest(due.range(), false));
        }
    }

    void onDigest(String from, ReplicationMessage.RangeDigest received) {
        int range = received.range();
        boolean equal = state.entries().rangeDigest(range) == received.digest();
        boolean bothReplicate =
                state.replicates(range) && state.placement().replicasOf(range).contains(from);
        if (received.epoch() != state.epoch() || equal || !bothReplicate) {
            return;
        }
        differences++;
        antiEntropy.requestRepair(range, from, received.entryCount());
        if (!received.isReply()) {
            state.outbox().send(from, state.rangeDigest(range, true));
        }
    }
}
