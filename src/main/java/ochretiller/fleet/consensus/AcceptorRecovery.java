package ochretiller.fleet.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Recovery of an acceptor that has lost its state: finds out which epochs it may have promised. It
 * queries the other acceptors until a majority has reported its highest known epochs; any majority
 * of which it was a part overlaps with these.
 *
 * <p>If in {@value #LOST_ROUNDS} consecutive rounds all acceptors answer that they have lost their
 * states, then nothing was promised or all promises are lost. Source: the recovery protocol of
 * viewstamped replication (Liskov, Cowling: "Viewstamped Replication Revisited", 2012, section
 * 4.3); the handling of states lost by all acceptors is an addition.
 */
final class AcceptorRecovery {
    /** Rounds of lost states before voting resumes; servers can report an epoch meanwhile. */
    private static final int LOST_ROUNDS = 4;

    private final String name;
    private final Set<String> acceptors;
    private final long startId;
    private final int quorum;
    private final Map<String, Long> highestEpochs = new HashMap<>();
    private final Map<String, Long> lostStartIds = new HashMap<>();
    private int roundsAllLost;
    private long nonce;

    /**
     * Creates the recovery of one acceptor.
     *
     * @param acceptors the names of all acceptors, this one included
     * @param startId a random number that identifies this start of the process
     */
    AcceptorRecovery(String name, Set<String> acceptors, long startId) {
        this.name = name;
        this.acceptors = acceptors;
        this.startId = startId;
        this.quorum = ReplicaPlacement.quorumSize(acceptors.size());
    }

    long startId() {
        return startId;
    }

    /** Starts a round; answers to earlier rounds are ignored from now on. */
    ConsensusMessage.RecoveryQuery startRound() {
        if (lostStartIds.size() < acceptors.size()) {
            roundsAllLost = 0;
        }
        highestEpochs.clear();
        lostStartIds.clear();
        lostStartIds.put(name, startId);
        nonce++;
        return new ConsensusMessage.RecoveryQuery(nonce);
    }

    /** Whether an answer belongs to the current round and comes from an acceptor. */
    boolean isCurrent(String from, long answeredNonce) {
        return answeredNonce == nonce && acceptors.contains(from);
    }

    /**
     * Processes a current answer from an acceptor that has its state.
     *
     * @return the highest epoch that may have been promised; empty until a majority has answered
     */
    OptionalLong receiveReply(String from, long highestEpoch) {
        highestEpochs.put(from, highestEpoch);
        if (highestEpochs.size() < quorum) {
            return OptionalLong.empty();
        }
        return highestEpochs.values().stream().mapToLong(Long::longValue).max();
    }

    /**
     * Processes a current answer from an acceptor that has lost its state too.
     *
     * @return the message for all acceptors; empty until all have lost their states in {@value
     *     #LOST_ROUNDS} rounds
     */
    Optional<ConsensusMessage> receiveStateLost(String from, long peerStartId) {
        boolean isRepeated = lostStartIds.put(from, peerStartId) != null;
        if (isRepeated || lostStartIds.size() < acceptors.size()) {
            return Optional.empty();
        }
        roundsAllLost++;
        if (roundsAllLost < LOST_ROUNDS) {
            return Optional.empty();
        }
        return Optional.of(new ConsensusMessage.AllStateLost(Map.copyOf(lostStartIds)));
    }

    /** Whether a message applies to this start of the process, not to an earlier one. */
    boolean isIncludedIn(ConsensusMessage.AllStateLost allLost) {
        return Long.valueOf(startId).equals(allLost.startIds().get(name));
    }
}
