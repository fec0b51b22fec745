package ochretiller.fleet.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Paxos acceptor, proposer and learner of one server, for one epoch after the other ("Paxos Made
 * Simple", Lamport 2001).
 *
 * <p>Usage: pass each message to {@link #receive}, write {@link #durableState} to disk, and only
 * then send the messages of {@link #takeOutbound}. All methods must be called on one thread.
 */
public final class EpochConsensus {
    private final String name;
    private final Set<String> acceptors;
    private final EpochAcceptor acceptor;
    private final EpochProposer proposer;
    private final AcceptorRecovery recovery;
    private final List<OutboundConsensusMessage> outbound = new ArrayList<>();

    private EpochConsensus(
            String name, Set<String> acceptors, EpochAcceptor acceptor, long startId) {
        this.name = name;
        this.acceptors = Set.copyOf(acceptors);
        this.acceptor = acceptor;
        this.proposer = new EpochProposer(name, ReplicaPlacement.quorumSize(this.acceptors.size()));
        this.recovery = new AcceptorRecovery(name, this.acceptors, startId);
    }

    /**
     * Creates an acceptor that restarts with its stored state.
     *
     * @param acceptors the names of all acceptors, this one included
     * @param startId a random number that identifies this start of the process
     */
    public static EpochConsensus resume(
            String name, Set<String> acceptors, AcceptorState state, long startId) {
        return new EpochConsensus(name, acceptors, new EpochAcceptor(state, false), startId);
    }

    /**
     * Creates an acceptor that has no stored state and may have lost it. It does not vote until
     * other acceptors have reported which epochs it may have made promises for.
     */
    public static EpochConsensus recover(
            String name, Set<String> acceptors, int replicationFactor, long startId) {
        AcceptorState state = AcceptorState.initial(replicationFactor);
        return new EpochConsensus(name, acceptors, new EpochAcceptor(state, true), startId);
    }

    /** Creates an acceptor of a new fleet without any epochs, which may vote at once. */
    public static EpochConsensus startFresh(
            String name, Set<String> acceptors, int replicationFactor, long startId) {
        return resume(name, acceptors, AcceptorState.initial(replicationFactor), startId);
    }

    /** The state to write to disk before the messages of {@link #takeOutbound} are sent. */
    public AcceptorState durableState() {
        return acceptor.state();
    }

    /** The latest committed placement known to this acceptor. */
    public ReplicaPlacement committedPlacement() {
        return acceptor.state().committedPlacement();
    }

    /** Whether this acceptor may have lost its state and does not vote yet. */
    public boolean hasLostState() {
        return acceptor.hasLostState();
    }

    /** Whether a proposal of this server is in progress. */
    public boolean isProposing() {
        return proposer.isActive();
    }

    /** Removes and returns the messages to send, in order. */
    public List<OutboundConsensusMessage> takeOutbound() {
        List<OutboundConsensusMessage> all = List.copyOf(outbound);
        outbound.clear();
        return all;
    }

    /** Starts a recovery round if the state is lost; the caller repeats it until recovered. */
    public void requestRecovery() {
        if (acceptor.hasLostState()) {
            broadcast(recovery.startRound());
        }
    }

    /** Proposes a placement; does nothing unless its epoch follows the committed one. */
    public void propose(ReplicaPlacement placement) {
        AcceptorState state = acceptor.state();
        if (placement.epoch() == state.nextEpoch()) {
            broadcastAndReceive(proposer.start(placement, state.promisedBallot()));
        }
    }

    /** Processes a message from another server. */
    public void receive(String from, ConsensusMessage message) {
        if (message instanceof ConsensusMessage.Committed committed) {
            learn(committed.placement());
        } else if (message instanceof ConsensusMessage.RecoveryQuery query) {
            reply(from, answer(query));
        } else if (message instanceof ConsensusMessage.RecoveryReply reply) {
            receiveRecoveryReply(from, reply);
        } else if (message instanceof ConsensusMessage.StateLost lost) {
            receiveStateLost(from, lost);
        } else if (message instanceof ConsensusMessage.AllStateLost allLost) {
            if (recovery.isIncludedIn(allLost)) {
                acceptor.resume();
            }
        } else if (acceptors.contains(from) && acceptors.contains(name)) {
            receiveVote(from, message);
        }
    }

    /** Processes a Paxos message, which is valid between acceptors only. */
    private void receiveVote(String from, ConsensusMessage message) {
        if (message instanceof ConsensusMessage.Prepare prepare) {
            acceptor.prepare(prepare).ifPresent(answer -> reply(from, answer));
        } else if (message instanceof ConsensusMessage.Accept accept) {
            acceptor.accept(accept).ifPresent(answer -> reply(from, answer));
        } else if (message instanceof ConsensusMessage.Promise promise) {
            if (promise.epoch() == acceptor.state().nextEpoch()) {
                proposer.receivePromise(from, promise).ifPresent(this::broadcastAndReceive);
            }
        } else if (message instanceof ConsensusMessage.Accepted accepted) {
            if (accepted.epoch() == acceptor.state().nextEpoch()) {
                proposer.receiveAccepted(from, accepted).ifPresent(this::broadcastAndReceive);
            }
        } else if (message instanceof ConsensusMessage.Nack nack) {
            if (nack.epoch() == acceptor.state().nextEpoch()) {
                proposer.receiveNack(nack);
            }
        }
    }

    private void learn(ReplicaPlacement placement) {
        if (acceptor.learn(placement)) {
            proposer.abandon();
        }
    }

    private ConsensusMessage answer(ConsensusMessage.RecoveryQuery query) {
        if (acceptor.hasLostState()) {
            return new ConsensusMessage.StateLost(query.nonce(), recovery.startId());
        }
        return new ConsensusMessage.RecoveryReply(
                query.nonce(), acceptor.highestEpoch(), committedPlacement());
    }

    private void receiveRecoveryReply(String from, ConsensusMessage.RecoveryReply reply) {
        if (!acceptor.hasLostState() || !recovery.isCurrent(from, reply.nonce())) {
            return;
        }
        learn(reply.placement());
        recovery.receiveReply(from, reply.highestEpoch())
                .ifPresent(acceptor::resumeAbstainingThrough);
    }

    private void receiveStateLost(String from, ConsensusMessage.StateLost lost) {
        if (!acceptor.hasLostState() || !recovery.isCurrent(from, lost.nonce())) {
            return;
        }
        recovery.receiveStateLost(from, lost.startId())
                .ifPresent(
                        allLost -> {
                            acceptor.resume();
                            broadcast(allLost);
                        });
    }

    private void reply(String to, ConsensusMessage message) {
        if (to.equals(name)) {
            receive(name, message);
        } else {
            outbound.add(new OutboundConsensusMessage(Optional.of(to), message));
        }
    }

    private void broadcast(ConsensusMessage message) {
        outbound.add(new OutboundConsensusMessage(Optional.empty(), message));
    }

    /** Sends a message to all other acceptors and processes it locally. */
    private void broadcastAndReceive(ConsensusMessage message) {
        broadcast(message);
        receive(name, message);
    }
}
