package ochretiller.fleet.replication;

import java.util.List;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Compares ranges with other replicas by digest, all the time and at a rate that does not depend on
 * what differs, and has differences repaired by {@link AntiEntropy}. Not thread-safe; random
 * numbers are handed in.
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

    /** Returns the random comparisons that this replica has started. */
    long comparisons() {
        return comparisons;
    }

    /** Returns the comparisons, started by either side, that found a difference. */
    long differences() {
        return differences;
    }

    /**
     * Compares one range, drawn from all, with one of its other replicas; nothing happens where
     * this server is none.
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
     * Schedules comparisons of all ranges with all their other replicas, and returns how many those
     * are.
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
        if (!received.reply()) {
            state.outbox().send(from, state.rangeDigest(range, true));
        }
    }
}
