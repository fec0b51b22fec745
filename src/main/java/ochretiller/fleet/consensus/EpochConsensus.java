package ochretiller.fleet.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One acceptor's part in agreeing on epochs: acceptor, proposer and learner of Paxos in one, as in
 * "Paxos Made Simple" (Lamport 2001), for one epoch after the other.
 *
 * <p>Usage: hand in each message by {@link #receive}; then have {@link #durableState} on disk, and
 * only then send what {@link #takeOutbound} returns. All methods belong to one thread.
 */
public final class EpochConsensus {
    private final String name;
    private final Set<String> acceptors;
    private final EpochAcceptor acceptor;
    private final EpochProposer proposer;
    private final AcceptorRecovery recovery;
    private final List<OutboundConsensusMessage> outbound = new ArrayList<>();

    private EpochConsensus(
            String name, Set<String> acceptors, EpochAcceptor acceptor, long instanceId) {
        this.name = name;
        this.acceptors = Set.copyOf(acceptors);
        this.acceptor = acceptor;
        this.proposer = new EpochProposer(name, ReplicaPlacement.quorumSize(this.acceptors.size()));
        this.recovery = new AcceptorRecovery(name, this.acceptors, instanceId);
    }

    /**
     * An acceptor that starts again with the state that it had.
     *
     * @param acceptors names of all acceptors, this one included
     * @param instanceId drawn at random at each start
     */
    public static EpochConsensus resume(
            String name, Set<String> acceptors, AcceptorState state, long instanceId) {
        return new EpochConsensus(name, acceptors, new EpochAcceptor(state, false), instanceId);
    }

    /**
     * An acceptor without a state, which may have lost it: it does not vote until the others have
     * told it what it may have promised.
     */
    public static EpochConsensus recover(
            String name, Set<String> acceptors, int replicationFactor, long instanceId) {
        AcceptorState state = AcceptorState.initial(replicationFactor);
        return new EpochConsensus(name, acceptors, new EpochAcceptor(state, true), instanceId);
    }

    /** An acceptor of a fleet that is known never to have had an epoch: it may vote at once. */
    public static EpochConsensus startFresh(
            String name, Set<String> acceptors, int replicationFactor, long instanceId) {
        return resume(name, acceptors, AcceptorState.initial(replicationFactor), instanceId);
    }

    /** What has to be on disk before the messages of {@link #takeOutbound} are sent. */
    public AcceptorState durableState() {
        return acceptor.state();
    }

    /** The latest placement that this acceptor knows to be committed. */
    public ReplicaPlacement committed() {
        return acceptor.state().committed();
    }

    /** Whether it has lost its state and does not vote yet. */
    public boolean hasLostState() {
        return acceptor.hasLostState();
    }

    /** Whether a proposal of its own waits for answers. */
    public boolean isProposing() {
        return proposer.isActive();
    }

    /** Messages to send since the last call, in order. */
    public List<OutboundConsensusMessage> takeOutbound() {
        List<OutboundConsensusMessage> all = List.copyOf(outbound);
        outbound.clear();
        return all;
    }

    /** Asks all servers what it may have promised; called again and again until it knows. */
    public void requestRecovery() {
        if (acceptor.hasLostState()) {
            broadcast(recovery.startRound());
        }
    }

    /** Proposes a placement as the next epoch; does nothing if it is not the next one. */
    public void propose(ReplicaPlacement placement) {
        AcceptorState state = acceptor.state();
        if (placement.epoch() == state.nextEpoch()) {
            broadcastAndReceive(proposer.start(placement, state.promisedBallot()));
        }
    }

    /** Takes a message of another server. */
    public void receive(String from, ConsensusMessage message) {
        if (message instanceof ConsensusMessage.Committed committed) {
            learn(committed.placement());
        } else if (message instanceof ConsensusMessage.RecoveryQuery query) {
            reply(from, answer(query));
        } else if (message instanceof ConsensusMessage.RecoveryReply reply) {
            recoveryReplied(from, reply);
        } else if (message instanceof ConsensusMessage.StateLost lost) {
            stateLost(from, lost);
        } else if (message instanceof ConsensusMessage.AllStateLost allLost) {
            if (recovery.includes(allLost)) {
                acceptor.resume();
            }
        } else if (acceptors.contains(from) && acceptors.contains(name)) {
            receiveVote(from, message);
        }
    }

    /** Messages that count for acceptors among themselves only. */
    private void receiveVote(String from, ConsensusMessage message) {
        if (message instanceof ConsensusMessage.Prepare prepare) {
            acceptor.prepare(prepare).ifPresent(answer -> reply(from, answer));
        } else if (message instanceof ConsensusMessage.Accept accept) {
            acceptor.accept(accept).ifPresent(answer -> reply(from, answer));
        } else if (message instanceof ConsensusMessage.Promise promise) {
            if (promise.epoch() == acceptor.state().nextEpoch()) {
                proposer.promised(from, promise).ifPresent(this::broadcastAndReceive);
            }
        } else if (message instanceof ConsensusMessage.Accepted accepted) {
            if (accepted.epoch() == acceptor.state().nextEpoch()) {
                proposer.accepted(from, accepted).ifPresent(this::broadcastAndReceive);
            }
        } else if (message instanceof ConsensusMessage.Nack nack) {
            if (nack.epoch() == acceptor.state().nextEpoch()) {
                proposer.rejected(nack);
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
            return new ConsensusMessage.StateLost(query.nonce(), recovery.instanceId());
        }
        return new ConsensusMessage.RecoveryReply(
                query.nonce(), acceptor.highestEpoch(), committed());
    }

    private void recoveryReplied(String from, ConsensusMessage.RecoveryReply reply) {
        if (!acceptor.hasLostState() || !recovery.isCurrent(from, reply.nonce())) {
            return;
        }
        learn(reply.placement());
        recovery.replied(from, reply.highestEpoch()).ifPresent(acceptor::resumeAbstainingThrough);
    }

    private void stateLost(String from, ConsensusMessage.StateLost lost) {
        if (!acceptor.hasLostState() || !recovery.isCurrent(from, lost.nonce())) {
            return;
        }
        recovery.stateLost(from, lost.instanceId())
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

    /** To all other acceptors, and to this one without a way through the network. */
    private void broadcastAndReceive(ConsensusMessage message) {
        broadcast(message);
        receive(name, message);
    }
}
