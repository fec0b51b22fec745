package ochretiller.fleet.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One voter: agrees on one epoch after the other, each by ballots that a majority of all voters has
 * accepted (Lamport's synod). What {@link AcceptorState} says has to be on disk before an answer
 * leaves.
 *
 * <p>A voter without its disk may have promised what it has forgotten. It says nothing until a
 * majority of the others has told it what is open, and abstains from all of that for ever: it votes
 * again from the first epoch behind it.
 */
public final class EpochConsensus {
    /**
     * Rounds of asking in which all voters have to be without anything: servers that know of an
     * epoch have the time to say so.
     */
    private static final int ROUNDS = 4;

    private final String name;
    private final Set<String> voters;
    private AcceptorState durableState;

    /** Epochs up to this one it abstains from. */
    private long abstainsTo;

    private boolean hasLostState;
    private long nonce;
    private final Map<String, Long> open = new HashMap<>();
    private final Map<String, Long> blanks = new HashMap<>();
    private int blankRounds;

    /** Tells this start without a disk from any other. */
    private final long instance;

    // An attempt of its own.
    private ReplicaPlacement wish;
    private Ballot ballot;
    private final Set<String> promises = new HashSet<>();
    private final Set<String> accepts = new HashSet<>();
    private Ballot bestAt = Ballot.NONE;
    private ReplicaPlacement best;
    private boolean accepting;
    private boolean over;
    private final List<OutboundConsensusMessage> takeOutbound = new ArrayList<>();

    /**
     * What has to outlive a crash.
     *
     * @param committed the last epoch that is known to be agreed on
     * @param promisedBallot the last attempt at the next one that was promised
     * @param acceptedPlacement what was accepted for the next one, or null
     */
    public record AcceptorState(
            ReplicaPlacement committed,
            Ballot promisedBallot,
            Ballot acceptedBallot,
            ReplicaPlacement acceptedPlacement,
            long abstainsThrough) {
        public static AcceptorState initial(int factor) {
            return new AcceptorState(
                    ReplicaPlacement.empty(factor), Ballot.NONE, Ballot.NONE, null, 0);
        }
    }

    /** A message that is to go out; to all other voters where nobody is named. */
    public record OutboundConsensusMessage(Optional<String> recipient, ConsensusMessage message) {}

    /**
     * @param kept what was on its disk, or null where the disk is lost
     * @param fresh whether the fleet is known never to have had an epoch: then nothing can have
     *     been promised
     * @param instance drawn by chance at each start
     */
    public EpochConsensus(
            String name,
            Set<String> voters,
            AcceptorState kept,
            int factor,
            boolean fresh,
            long instance) {
        this.instance = instance;
        this.name = name;
        this.voters = Set.copyOf(voters);
        this.durableState = kept == null ? AcceptorState.initial(factor) : kept;
        this.abstainsTo = durableState.abstainsThrough;
        this.hasLostState = kept == null && !fresh;
    }

    /** What has to be on disk before {@link #takeOutbound} leave. */
    public AcceptorState durableState() {
        return durableState;
    }

    public ReplicaPlacement committed() {
        return durableState.committed;
    }

    public boolean hasLostState() {
        return hasLostState;
    }

    public List<OutboundConsensusMessage> takeOutbound() {
        List<OutboundConsensusMessage> all = List.copyOf(takeOutbound);
        takeOutbound.clear();
        return all;
    }

    private long next() {
        return durableState.committed.epoch() + 1;
    }

    private boolean abstains(long number) {
        return hasLostState || number <= abstainsTo;
    }

    /**
     * Asks the others what it may have promised, and all servers which epoch they know of; again
     * and again until it knows.
     */
    public void requestRecovery() {
        if (!hasLostState) {
            return;
        }
        if (blanks.size() < voters.size()) {
            blankRounds = 0;
        }
        open.clear();
        blanks.clear();
        blanks.put(name, instance);
        takeOutbound.add(
                new OutboundConsensusMessage(
                        Optional.empty(), new ConsensusMessage.RecoveryQuery(++nonce)));
    }

    /** Tries to have this agreed on as the next epoch, with a ballot over all that it knows of. */
    public void propose(ReplicaPlacement layout) {
        if (layout.epoch() != next()) {
            return;
        }
        wish = layout;
        Ballot last =
                ballot == null || durableState.promisedBallot.compareTo(ballot) > 0
                        ? durableState.promisedBallot
                        : ballot;
        ballot = last.next(name);
        promises.clear();
        accepts.clear();
        best = null;
        bestAt = Ballot.NONE;
        accepting = false;
        over = false;
        ConsensusMessage prepare = new ConsensusMessage.Prepare(next(), ballot);
        takeOutbound.add(new OutboundConsensusMessage(Optional.empty(), prepare));
        receive(name, prepare);
    }

    /** Whether an attempt of its own waits for answers. */
    public boolean isProposing() {
        return wish != null && !over;
    }

    private void say(String to, ConsensusMessage message) {
        if (to.equals(name)) {
            receive(name, message);
        } else {
            takeOutbound.add(new OutboundConsensusMessage(Optional.of(to), message));
        }
    }

    public void receive(String from, ConsensusMessage message) {
        if (message instanceof ConsensusMessage.Committed agreed) {
            committed(agreed.placement());
        }
        if (message instanceof ConsensusMessage.RecoveryQuery asked && !hasLostState) {
            long highest =
                    durableState.promisedBallot.equals(Ballot.NONE)
                                    && durableState.acceptedPlacement == null
                            ? durableState.committed.epoch()
                            : next();
            say(
                    from,
                    new ConsensusMessage.RecoveryReply(
                            asked.nonce(), Math.max(highest, abstainsTo), durableState.committed));
        }
        if (message instanceof ConsensusMessage.RecoveryQuery asked && hasLostState) {
            say(from, new ConsensusMessage.StateLost(asked.nonce(), instance));
        }
        if (message instanceof ConsensusMessage.RecoveryReply told) {
            open(from, told);
        }
        if (message instanceof ConsensusMessage.StateLost told) {
            hasLostState(from, told);
        }
        if (message instanceof ConsensusMessage.AllStateLost told
                && hasLostState
                && Long.valueOf(instance).equals(told.instanceIds().get(name))) {
            hasLostState = false;
        }
        if (!voters.contains(from) || !voters.contains(name)) {
            return;
        }
        if (message instanceof ConsensusMessage.Prepare prepare) {
            prepared(from, prepare);
        } else if (message instanceof ConsensusMessage.Promise promise) {
            promise(from, promise);
        } else if (message instanceof ConsensusMessage.Accept accept) {
            accept(from, accept);
        } else if (message instanceof ConsensusMessage.Accepted accepted) {
            accepted(from, accepted);
        } else if (message instanceof ConsensusMessage.Nack refused) {
            refused(refused);
        }
    }

    private void committed(ReplicaPlacement layout) {
        if (layout.epoch() <= durableState.committed.epoch()) {
            return;
        }
        // What was promised for an epoch that is agreed on meanwhile is of no more use; a later one
        // begins with nothing.
        durableState = new AcceptorState(layout, Ballot.NONE, Ballot.NONE, null, abstainsTo);
        wish = null;
        over = true;
    }

    private void open(String from, ConsensusMessage.RecoveryReply told) {
        if (!hasLostState || told.nonce() != nonce || !voters.contains(from)) {
            return;
        }
        committed(told.placement());
        open.put(from, told.highestEpoch());
        if (open.size() < ReplicaPlacement.quorumSize(voters.size())) {
            return;
        }
        // Any majority that it was part of has somebody among these who knows of that attempt.
        abstainsTo = open.values().stream().mapToLong(Long::longValue).max().orElse(0);
        hasLostState = false;
        durableState =
                new AcceptorState(
                        durableState.committed,
                        durableState.promisedBallot,
                        durableState.acceptedBallot,
                        durableState.acceptedPlacement,
                        abstainsTo);
    }

    /**
     * Where all voters are without anything at one time there was never anything, or it is lost for
     * good: then they go on from the last epoch that any server has told of.
     */
    private void hasLostState(String from, ConsensusMessage.StateLost told) {
        if (!hasLostState || told.nonce() != nonce || !voters.contains(from)) {
            return;
        }
        if (blanks.put(from, told.instanceId()) != null
                || blanks.size() < voters.size()
                || ++blankRounds < ROUNDS) {
            return;
        }
        hasLostState = false;
        takeOutbound.add(
                new OutboundConsensusMessage(
                        Optional.empty(), new ConsensusMessage.AllStateLost(Map.copyOf(blanks))));
    }

    private void prepared(String from, ConsensusMessage.Prepare prepare) {
        if (prepare.epoch() <= durableState.committed.epoch()) {
            say(from, new ConsensusMessage.Committed(durableState.committed));
        } else if (prepare.epoch() == next() && !abstains(prepare.epoch())) {
            if (prepare.ballot().compareTo(durableState.promisedBallot) < 0) {
                say(
                        from,
                        new ConsensusMessage.Nack(
                                prepare.epoch(), prepare.ballot(), durableState.promisedBallot));
                return;
            }
            durableState =
                    new AcceptorState(
                            durableState.committed,
                            prepare.ballot(),
                            durableState.acceptedBallot,
                            durableState.acceptedPlacement,
                            abstainsTo);
            say(
                    from,
                    new ConsensusMessage.Promise(
                            prepare.epoch(),
                            prepare.ballot(),
                            durableState.acceptedBallot,
                            durableState.acceptedPlacement));
        }
    }

    private void promise(String from, ConsensusMessage.Promise promise) {
        if (over || accepting || promise.epoch() != next() || !promise.ballot().equals(ballot)) {
            return;
        }
        promises.add(from);
        if (promise.acceptedPlacement() != null && promise.acceptedBallot().compareTo(bestAt) > 0) {
            bestAt = promise.acceptedBallot();
            best = promise.acceptedPlacement();
        }
        if (promises.size() < ReplicaPlacement.quorumSize(voters.size())) {
            return;
        }
        accepting = true;
        ConsensusMessage accept =
                new ConsensusMessage.Accept(promise.epoch(), ballot, best == null ? wish : best);
        takeOutbound.add(new OutboundConsensusMessage(Optional.empty(), accept));
        receive(name, accept);
    }

    private void accept(String from, ConsensusMessage.Accept accept) {
        if (accept.epoch() <= durableState.committed.epoch()) {
            say(from, new ConsensusMessage.Committed(durableState.committed));
        } else if (accept.epoch() == next() && !abstains(accept.epoch())) {
            if (accept.ballot().compareTo(durableState.promisedBallot) < 0) {
                say(
                        from,
                        new ConsensusMessage.Nack(
                                accept.epoch(), accept.ballot(), durableState.promisedBallot));
                return;
            }
            durableState =
                    new AcceptorState(
                            durableState.committed,
                            accept.ballot(),
                            accept.ballot(),
                            accept.placement(),
                            abstainsTo);
            say(from, new ConsensusMessage.Accepted(accept.epoch(), accept.ballot()));
        }
    }

    private void accepted(String from, ConsensusMessage.Accepted accepted) {
        if (over || !accepting || accepted.epoch() != next() || !accepted.ballot().equals(ballot)) {
            return;
        }
        accepts.add(from);
        if (accepts.size() < ReplicaPlacement.quorumSize(voters.size())) {
            return;
        }
        ReplicaPlacement layout = best == null ? wish : best;
        takeOutbound.add(
                new OutboundConsensusMessage(
                        Optional.empty(), new ConsensusMessage.Committed(layout)));
        committed(layout);
    }

    private void refused(ConsensusMessage.Nack refused) {
        if (over || refused.epoch() != next() || !refused.ballot().equals(ballot)) {
            return;
        }
        // It waits for its host to attempt again, behind a pause of chance, over what was promised
        // to another.
        over = true;
        if (refused.promisedBallot().compareTo(ballot) > 0) {
            ballot = new Ballot(refused.promisedBallot().round(), name);
        }
    }

    /** All that decides what it does next, as text. */
    public String describeState() {
        return durableState
                + " "
                + abstainsTo
                + hasLostState
                + open
                + wish
                + ballot
                + promises
                + accepts
                + bestAt
                + best
                + accepting
                + over;
    }
}
