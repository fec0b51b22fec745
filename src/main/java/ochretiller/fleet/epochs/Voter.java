package ochretiller.fleet.epochs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One voter: agrees on one epoch after the other, each by ballots that a majority of all voters has
 * accepted (Lamport's synod). What {@link Promised} says has to be on disk before an answer leaves.
 *
 * <p>A voter without its disk may have promised what it has forgotten. It says nothing until a
 * majority of the others has told it what is open, and abstains from all of that for ever: it votes
 * again from the first epoch behind it.
 */
public final class Voter {
    /**
     * Rounds of asking in which all voters have to be without anything: servers that know of an
     * epoch have the time to say so.
     */
    private static final int ROUNDS = 4;

    private final String name;
    private final Set<String> voters;
    private Promised promised;

    /** Epochs up to this one it abstains from. */
    private long abstainsTo;

    private boolean blank;
    private long nonce;
    private final Map<String, Long> open = new HashMap<>();
    private final Map<String, Long> blanks = new HashMap<>();
    private int blankRounds;

    /** Tells this start without a disk from any other. */
    private final long instance;

    // An attempt of its own.
    private Layout wish;
    private Ballot ballot;
    private final Set<String> promises = new HashSet<>();
    private final Set<String> accepts = new HashSet<>();
    private Ballot bestAt = Ballot.NONE;
    private Layout best;
    private boolean accepting;
    private boolean over;
    private final List<Out> outs = new ArrayList<>();

    /**
     * What has to outlive a crash.
     *
     * @param agreed the last epoch that is known to be agreed on
     * @param ballot the last attempt at the next one that was promised
     * @param accepted what was accepted for the next one, or null
     */
    public record Promised(
            Layout agreed, Ballot ballot, Ballot acceptedAt, Layout accepted, long abstainsTo) {
        public static Promised none(int factor) {
            return new Promised(Layout.none(factor), Ballot.NONE, Ballot.NONE, null, 0);
        }
    }

    /** A message that is to go out; to all other voters where nobody is named. */
    public record Out(Optional<String> to, EpochMessage message) {}

    /**
     * @param kept what was on its disk, or null where the disk is lost
     * @param fresh whether the fleet is known never to have had an epoch: then nothing can have
     *     been promised
     * @param instance drawn by chance at each start
     */
    public Voter(
            String name,
            Set<String> voters,
            Promised kept,
            int factor,
            boolean fresh,
            long instance) {
        this.instance = instance;
        this.name = name;
        this.voters = Set.copyOf(voters);
        this.promised = kept == null ? Promised.none(factor) : kept;
        this.abstainsTo = promised.abstainsTo;
        this.blank = kept == null && !fresh;
    }

    /** What has to be on disk before {@link #outs} leave. */
    public Promised promised() {
        return promised;
    }

    public Layout agreed() {
        return promised.agreed;
    }

    public boolean blank() {
        return blank;
    }

    public List<Out> outs() {
        List<Out> all = List.copyOf(outs);
        outs.clear();
        return all;
    }

    private long next() {
        return promised.agreed.epoch() + 1;
    }

    private boolean abstains(long number) {
        return blank || number <= abstainsTo;
    }

    /**
     * Asks the others what it may have promised, and all servers which epoch they know of; again
     * and again until it knows.
     */
    public void ask() {
        if (!blank) {
            return;
        }
        if (blanks.size() < voters.size()) {
            blankRounds = 0;
        }
        open.clear();
        blanks.clear();
        blanks.put(name, instance);
        outs.add(new Out(Optional.empty(), new EpochMessage.WhatIsOpen(++nonce)));
    }

    /** Tries to have this agreed on as the next epoch, with a ballot over all that it knows of. */
    public void attempt(Layout layout) {
        if (layout.epoch() != next()) {
            return;
        }
        wish = layout;
        Ballot last =
                ballot == null || promised.ballot.compareTo(ballot) > 0 ? promised.ballot : ballot;
        ballot = last.next(name);
        promises.clear();
        accepts.clear();
        best = null;
        bestAt = Ballot.NONE;
        accepting = false;
        over = false;
        EpochMessage prepare = new EpochMessage.Prepare(next(), ballot);
        outs.add(new Out(Optional.empty(), prepare));
        received(name, prepare);
    }

    /** Whether an attempt of its own waits for answers. */
    public boolean attempting() {
        return wish != null && !over;
    }

    private void say(String to, EpochMessage message) {
        if (to.equals(name)) {
            received(name, message);
        } else {
            outs.add(new Out(Optional.of(to), message));
        }
    }

    public void received(String from, EpochMessage message) {
        if (message instanceof EpochMessage.Agreed agreed) {
            agreed(agreed.layout());
        }
        if (message instanceof EpochMessage.WhatIsOpen asked && !blank) {
            long highest =
                    promised.ballot.equals(Ballot.NONE) && promised.accepted == null
                            ? promised.agreed.epoch()
                            : next();
            say(
                    from,
                    new EpochMessage.Open(
                            asked.nonce(), Math.max(highest, abstainsTo), promised.agreed));
        }
        if (message instanceof EpochMessage.WhatIsOpen asked && blank) {
            say(from, new EpochMessage.Blank(asked.nonce(), instance));
        }
        if (message instanceof EpochMessage.Open told) {
            open(from, told);
        }
        if (message instanceof EpochMessage.Blank told) {
            blank(from, told);
        }
        if (message instanceof EpochMessage.Fresh told
                && blank
                && Long.valueOf(instance).equals(told.instances().get(name))) {
            blank = false;
        }
        if (!voters.contains(from) || !voters.contains(name)) {
            return;
        }
        if (message instanceof EpochMessage.Prepare prepare) {
            prepared(from, prepare);
        } else if (message instanceof EpochMessage.Promise promise) {
            promise(from, promise);
        } else if (message instanceof EpochMessage.Accept accept) {
            accept(from, accept);
        } else if (message instanceof EpochMessage.Accepted accepted) {
            accepted(from, accepted);
        } else if (message instanceof EpochMessage.Refused refused) {
            refused(refused);
        }
    }

    private void agreed(Layout layout) {
        if (layout.epoch() <= promised.agreed.epoch()) {
            return;
        }
        // What was promised for an epoch that is agreed on meanwhile is of no more use; a later one
        // begins with nothing.
        promised = new Promised(layout, Ballot.NONE, Ballot.NONE, null, abstainsTo);
        wish = null;
        over = true;
    }

    private void open(String from, EpochMessage.Open told) {
        if (!blank || told.nonce() != nonce || !voters.contains(from)) {
            return;
        }
        agreed(told.layout());
        open.put(from, told.highest());
        if (open.size() < Layout.majority(voters.size())) {
            return;
        }
        // Any majority that it was part of has somebody among these who knows of that attempt.
        abstainsTo = open.values().stream().mapToLong(Long::longValue).max().orElse(0);
        blank = false;
        promised =
                new Promised(
                        promised.agreed,
                        promised.ballot,
                        promised.acceptedAt,
                        promised.accepted,
                        abstainsTo);
    }

    /**
     * Where all voters are without anything at one time there was never anything, or it is lost for
     * good: then they go on from the last epoch that any server has told of.
     */
    private void blank(String from, EpochMessage.Blank told) {
        if (!blank || told.nonce() != nonce || !voters.contains(from)) {
            return;
        }
        if (blanks.put(from, told.instance()) != null
                || blanks.size() < voters.size()
                || ++blankRounds < ROUNDS) {
            return;
        }
        blank = false;
        outs.add(new Out(Optional.empty(), new EpochMessage.Fresh(Map.copyOf(blanks))));
    }

    private void prepared(String from, EpochMessage.Prepare prepare) {
        if (prepare.number() <= promised.agreed.epoch()) {
            say(from, new EpochMessage.Agreed(promised.agreed));
        } else if (prepare.number() == next() && !abstains(prepare.number())) {
            if (prepare.ballot().compareTo(promised.ballot) < 0) {
                say(
                        from,
                        new EpochMessage.Refused(
                                prepare.number(), prepare.ballot(), promised.ballot));
                return;
            }
            promised =
                    new Promised(
                            promised.agreed,
                            prepare.ballot(),
                            promised.acceptedAt,
                            promised.accepted,
                            abstainsTo);
            say(
                    from,
                    new EpochMessage.Promise(
                            prepare.number(),
                            prepare.ballot(),
                            promised.acceptedAt,
                            promised.accepted));
        }
    }

    private void promise(String from, EpochMessage.Promise promise) {
        if (over || accepting || promise.number() != next() || !promise.ballot().equals(ballot)) {
            return;
        }
        promises.add(from);
        if (promise.accepted() != null && promise.acceptedAt().compareTo(bestAt) > 0) {
            bestAt = promise.acceptedAt();
            best = promise.accepted();
        }
        if (promises.size() < Layout.majority(voters.size())) {
            return;
        }
        accepting = true;
        EpochMessage accept =
                new EpochMessage.Accept(promise.number(), ballot, best == null ? wish : best);
        outs.add(new Out(Optional.empty(), accept));
        received(name, accept);
    }

    private void accept(String from, EpochMessage.Accept accept) {
        if (accept.number() <= promised.agreed.epoch()) {
            say(from, new EpochMessage.Agreed(promised.agreed));
        } else if (accept.number() == next() && !abstains(accept.number())) {
            if (accept.ballot().compareTo(promised.ballot) < 0) {
                say(
                        from,
                        new EpochMessage.Refused(
                                accept.number(), accept.ballot(), promised.ballot));
                return;
            }
            promised =
                    new Promised(
                            promised.agreed,
                            accept.ballot(),
                            accept.ballot(),
                            accept.layout(),
                            abstainsTo);
            say(from, new EpochMessage.Accepted(accept.number(), accept.ballot()));
        }
    }

    private void accepted(String from, EpochMessage.Accepted accepted) {
        if (over
                || !accepting
                || accepted.number() != next()
                || !accepted.ballot().equals(ballot)) {
            return;
        }
        accepts.add(from);
        if (accepts.size() < Layout.majority(voters.size())) {
            return;
        }
        Layout layout = best == null ? wish : best;
        outs.add(new Out(Optional.empty(), new EpochMessage.Agreed(layout)));
        agreed(layout);
    }

    private void refused(EpochMessage.Refused refused) {
        if (over || refused.number() != next() || !refused.ballot().equals(ballot)) {
            return;
        }
        // It waits for its host to attempt again, behind a pause of chance, over what was promised
        // to another.
        over = true;
        if (refused.promised().compareTo(ballot) > 0) {
            ballot = new Ballot(refused.promised().round(), name);
        }
    }

    /** All that decides what it does next, as text. */
    public String state() {
        return promised
                + " "
                + abstainsTo
                + blank
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
