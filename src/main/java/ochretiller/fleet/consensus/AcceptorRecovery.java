package ochretiller.fleet.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * How an acceptor that has lost its state finds out what it may have promised. It asks the others
 * until a majority has told it the highest epoch that they know of: any majority that it was part
 * of has somebody among those.
 *
 * <p>If all acceptors say in one round, and in {@value #LOST_ROUNDS} rounds running, that they have
 * lost their states, then nothing was ever promised or it is lost for good. Source: the recovery
 * protocol of viewstamped replication (Liskov, Cowling: "Viewstamped Replication Revisited", 2012,
 * section 4.3); the case in which all have lost their states is this project's own.
 */
final class AcceptorRecovery {
    /** Rounds in which all have lost their states, so that servers have time to tell an epoch. */
    private static final int LOST_ROUNDS = 4;

    private final String name;
    private final Set<String> acceptors;
    private final long instanceId;
    private final int quorum;
    private final Map<String, Long> highestEpochs = new HashMap<>();
    private final Map<String, Long> lostInstances = new HashMap<>();
    private int roundsAllLost;
    private long nonce;

    /**
     * Creates the recovery of one acceptor.
     *
     * @param acceptors names of all, this one included
     * @param instanceId tells this start from any other
     */
    AcceptorRecovery(String name, Set<String> acceptors, long instanceId) {
        this.name = name;
        this.acceptors = acceptors;
        this.instanceId = instanceId;
        this.quorum = ReplicaPlacement.quorumSize(acceptors.size());
    }

    long instanceId() {
        return instanceId;
    }

    /** Starts a round; answers to earlier ones count no more. */
    ConsensusMessage.RecoveryQuery startRound() {
        if (lostInstances.size() < acceptors.size()) {
            roundsAllLost = 0;
        }
        highestEpochs.clear();
        lostInstances.clear();
        lostInstances.put(name, instanceId);
        nonce++;
        return new ConsensusMessage.RecoveryQuery(nonce);
    }

    /** Whether an answer is one to the present round, by an acceptor. */
    boolean isCurrent(String from, long answeredNonce) {
        return answeredNonce == nonce && acceptors.contains(from);
    }

    /**
     * Takes a current answer by an acceptor that has its state.
     *
     * @return the highest epoch that may have been promised, once a majority has answered
     */
    OptionalLong replied(String from, long highestEpoch) {
        highestEpochs.put(from, highestEpoch);
        if (highestEpochs.size() < quorum) {
            return OptionalLong.empty();
        }
        return highestEpochs.values().stream().mapToLong(Long::longValue).max();
    }

    /**
     * Takes a current answer by an acceptor that has lost its state too.
     *
     * @return the message for all acceptors, once this has been so for all for some rounds
     */
    Optional<ConsensusMessage> stateLost(String from, long itsInstanceId) {
        boolean isRepeated = lostInstances.put(from, itsInstanceId) != null;
        if (isRepeated || lostInstances.size() < acceptors.size()) {
            return Optional.empty();
        }
        roundsAllLost++;
        if (roundsAllLost < LOST_ROUNDS) {
            return Optional.empty();
        }
        return Optional.of(new ConsensusMessage.AllStateLost(Map.copyOf(lostInstances)));
    }

    /** Whether this very start was among those that had all lost their states. */
    boolean includes(ConsensusMessage.AllStateLost allLost) {
        return Long.valueOf(instanceId).equals(allLost.instanceIds().get(name));
    }
}
