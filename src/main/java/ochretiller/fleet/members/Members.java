package ochretiller.fleet.members;

import static ochretiller.spans.Spans.min;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One server's view of the fleet. It asks others in turn, lets others ask where one does not
 * answer, suspects before it judges, and answers what is said of itself. A view is an opinion:
 * nothing that may happen only once rests on it.
 *
 * <p>Its clock is the caller's less what the caller slept: a server that was paused has not waited
 * for anybody meanwhile. All methods are the one thread's that owns it.
 */
public final class Members {
    /** A gap of the caller's that counts as more than this was a pause. */
    private static final int GAP_TICKS = 2;

    /** A ping is said so often: two of three lost on a bad link still leave one. */
    private static final int SAID = 3;

    /** Others that are asked to ask. */
    private static final int HELPERS = 3;

    /** Suspects that are asked again beside the turn. */
    private static final int OWN_SUSPECTS = 2;

    /** Proofs that wait, and that are asked for in a tick. */
    private static final int PROOFS = 256;

    private static final int PROOFS_A_TICK = 2;

    /** Questions that wait at once: a second of all kinds at their most. */
    private static final int PENDING = 512;

    /** A view may differ for so many probes before it is compared, and is compared so seldom. */
    private static final int DIFFERS = 3;

    private static final int COMPARES = 9;

    /** Views that are told in a second at most, and pages of one: a whole fleet of a thousand. */
    private static final int TOLD_A_SECOND = 10;

    private static final int PAGES = 24;

    /**
     * Gone members are asked each once a second by all together, and by each server at most so
     * often a second.
     */
    private static final double GONE_RATE = 0.5;

    /**
     * Seeds are asked with a growing pause of so many probes, where nobody is known and beside
     * others.
     */
    private static final int SEED_FIRST = 3;

    private static final int SEED_MOST = 50;

    /** A newcomer serves alone where no seed answers for so many probes. */
    private static final int JOINS = 20;

    /** The word to leave is said so many times to all. */
    private static final int LEAVES = 3;

    /** The same twin is told to the operators so seldom, in probes. */
    private static final int TWIN_TOLD = 600;

    private final Pace pace;
    private final List<Address> seeds;

    /** Others that a former process knew. */
    private List<Address> former = List.of();

    private final RandomGenerator chance;
    private final Table table = new Table();
    private final Rumours rumours = new Rumours();
    private final Doubt doubt = new Doubt();
    private final Counts counts = new Counts();
    private final Map<Long, Probe> pending = new LinkedHashMap<>();
    private final Map<Long, Member> proofs = new LinkedHashMap<>();
    private final List<Long> order = new ArrayList<>();
    private final List<Send> sends = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Duration> twins = new HashMap<>();
    private Member self;

    /** The caller's time when it last looked, and the waking time. */
    private Duration seen;

    private Duration awake = Duration.ZERO;
    private Duration due;
    private Duration nextTurn;
    private Duration nextSeed;
    private Duration seedPause;
    private Duration nextForget = Duration.ZERO;
    private final Duration joinsBy;

    /** Since when others' digests differ, or null. */
    private Duration differs;

    private Duration compared = Duration.ZERO;
    private double toldLeft = TOLD_A_SECOND;
    private int turn;
    private long nonces;
    private long heard;
    private int leaves;

    /**
     * A view that has nobody in it yet.
     *
     * @param self this server, with a start of its own
     * @param seeds where others may be; any one that is alive is enough
     * @param now the caller's time, which never goes back
     */
    public Members(
            Member self, List<Address> seeds, Pace pace, RandomGenerator chance, Duration now) {
        this.self = self.as(State.JOINING, self.number());
        this.seeds = List.copyOf(seeds);
        this.pace = pace;
        this.chance = chance;
        this.seen = now;
        // Guards against a fleet whose timers are in step because all started together.
        this.due = now.plus(spread(pace.tick()));
        this.nextTurn = spread(pace.probe());
        this.nextSeed = seeds.isEmpty() ? pace.probe() : Duration.ZERO;
        this.seedPause = pace.times(SEED_FIRST);
        this.joinsBy = pace.times(JOINS);
    }

    /**
     * Others that a former process of this server knew: asked beside the seeds, as long as nobody
     * is seen.
     */
    public void knew(List<Address> others) {
        former = List.copyOf(others);
        if (!former.isEmpty()) {
            nextSeed = Duration.ZERO;
        }
    }

    private Duration spread(Duration span) {
        return Duration.ofNanos((long) (span.toNanos() * chance.nextDouble()));
    }

    public Member self() {
        return self;
    }

    public Counts counts() {
        return counts;
    }

    /** How far this server doubts itself, 0 to 8. */
    public int doubt() {
        return doubt.level();
    }

    /** Others that are thought to be alive. */
    public int live() {
        return table.live();
    }

    /** Digest of who is alive with which number: equal in two views that agree. */
    public long digest() {
        return table.digest(self);
    }

    /** News that still goes round. */
    public int news() {
        return rumours.size();
    }

    /** When {@link #tick} is due, on the caller's clock. */
    public Duration next() {
        return due;
    }

    /** Packets that are to go out since the last call. */
    public List<Send> sends() {
        return drained(sends);
    }

    /** What has happened since the last call. */
    public List<Change> changes() {
        return drained(changes);
    }

    private static <T> List<T> drained(List<T> list) {
        if (list.isEmpty()) {
            return List.of();
        }
        List<T> all = List.copyOf(list);
        list.clear();
        return all;
    }

    /**
     * Whether anybody who is alive serves at this address: a start may be gone and its successor
     * there.
     */
    public boolean serving(Address address) {
        if (address == null) {
            return false;
        }
        for (Known known : table.all()) {
            if (known.member.state().live() && address.equals(known.member.serves())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Where the one that bears this name and is alive is asked, or null where none is; this
     * server's own for its own.
     */
    public Address address(String name) {
        if (name.equals(self.id().name())) {
            return self.address();
        }
        for (Known known : table.all()) {
            if (known.member.state().live() && known.member.id().name().equals(name)) {
                return known.member.address();
            }
        }
        return null;
    }

    /** Whether this start is alive and bears the name. */
    public boolean named(String name, long start) {
        Known known = table.get(start);
        return known != null
                && known.member.state().live()
                && known.member.id().name().equals(name);
    }

    /** All that are known, this server first, then by name. */
    public List<Seen> view() {
        List<Seen> all = new ArrayList<>();
        for (Known known : table.all()) {
            all.add(new Seen(known.member, awake.minus(known.since), false));
        }
        all.sort((a, b) -> a.member().id().name().compareTo(b.member().id().name()));
        all.add(0, new Seen(self, awake, true));
        return all;
    }

    /**
     * All that decides what this server does next, as text: equal texts go on alike. Times are told
     * from now on, so that states that differ only in how late it is are one; for explorers of all
     * orders of events.
     */
    public String state() {
        StringBuilder text = new StringBuilder(256);
        text.append(self.start())
                .append(self.state())
                .append(self.number())
                .append(" d")
                .append(doubt.level())
                .append(" t")
                .append(turn)
                .append(order)
                .append(" n")
                .append(left(nextTurn))
                .append(" c")
                .append(left(compared))
                .append(" l")
                .append(leaves);
        if (differs != null) {
            text.append(" f").append(age(differs));
        }
        if (self.state() == State.JOINING) {
            text.append(" j").append(left(joinsBy));
        }
        for (Known known : table.all()) {
            text.append('|')
                    .append(known.member.start())
                    .append(known.member.state())
                    .append(known.member.number());
            if (known.member.state() == State.SUSPECT) {
                text.append(known.accusers)
                        .append(age(known.since))
                        .append(known.own)
                        .append(known.judged);
            }
            if (known.unsaid) {
                text.append('u');
            }
        }
        for (Probe probe : pending.values()) {
            text.append('?')
                    .append(probe.kind)
                    .append(probe.target)
                    .append(age(probe.begun))
                    .append(age(probe.said))
                    .append(probe.times)
                    .append(probe.asked)
                    .append(heard == probe.heard)
                    .append(probe.nonce - self.start() * 31 - nonces);
        }
        return text.append('!').append(proofs.keySet()).append(rumours).toString();
    }

    private long age(Duration since) {
        return awake.minus(since).toNanos();
    }

    private long left(Duration until) {
        return Math.max(0, until.minus(awake).toNanos());
    }

    // ---- time

    /** The clock has come to {@link #next}, or later. */
    public void tick(Duration now) {
        Duration late = now.minus(due);
        wake(now);
        if (late.compareTo(pace.tick().multipliedBy(GAP_TICKS)) > 0) {
            counts.lateTicks++;
            doubt.more();
        }
        due = now.plus(pace.tick());
        toldLeft = Math.min(TOLD_A_SECOND, toldLeft + TOLD_A_SECOND * pace.tick().toNanos() / 1e9);
        waitFor();
        if (self.state() == State.LEFT) {
            if (leaves-- > 0) {
                sayLeft();
            }
            return;
        }
        judge();
        if (awake.compareTo(nextTurn) >= 0) {
            nextTurn = awake.plus(pace.probe()).minus(spread(pace.tick()).dividedBy(2));
            takeTurn();
        }
        askProofs();
        askGone();
        askSeeds();
        if (self.state() == State.JOINING && awake.compareTo(joinsBy) >= 0) {
            joined();
        }
        if (awake.compareTo(nextForget) >= 0) {
            nextForget = awake.plus(Duration.ofSeconds(1));
            forget();
        }
    }

    /**
     * Time goes on by what the caller was awake: what it slept through, nobody had the chance to
     * answer.
     */
    private void wake(Duration now) {
        Duration gap = now.minus(seen);
        if (gap.isNegative()) {
            return;
        }
        seen = now;
        Duration most = pace.tick().multipliedBy(GAP_TICKS);
        awake = awake.plus(gap.compareTo(most) > 0 ? most : gap);
    }

    private boolean passed(Duration since, Duration span) {
        return awake.minus(since).compareTo(span) >= 0;
    }

    /** Questions that wait: said again, handed to others, given up. */
    private void waitFor() {
        List<Probe> failed = new ArrayList<>();
        for (Iterator<Probe> i = pending.values().iterator(); i.hasNext(); ) {
            Probe probe = i.next();
            if (passed(probe.begun, doubt.stretched(pace.failsAfter()))) {
                i.remove();
                failed.add(probe);
                continue;
            }
            if (probe.times < SAID && passed(probe.said, pace.again())) {
                probe.times++;
                probe.said = awake;
                ping(probe);
            }
            if (probe.kind == Probe.Kind.TURN
                    && !probe.asked
                    && passed(probe.begun, pace.asksAfter())) {
                probe.asked = true;
                askOthers(probe);
            }
        }
        failed.forEach(this::failed);
    }

    private void failed(Probe probe) {
        if (probe.kind != Probe.Kind.TURN || self.state() == State.LEFT) {
            return;
        }
        Known known = table.get(probe.target);
        if (known == null || !known.member.state().live()) {
            return;
        }
        counts.missed++;
        // Guards against one that hears nobody and would tell the fleet that all others are gone.
        boolean deaf = heard == probe.heard;
        if (deaf) {
            doubt.more();
        }
        suspect(known, known.member.number(), self.start(), deaf);
        known.own = true;
    }

    private void judge() {
        List<Known> overdue = new ArrayList<>();
        for (Known known : table.suspects()) {
            Duration span =
                    known.judged
                            ? pace.shortest(table.live() + 1)
                            : pace.suspicion(table.live() + 1, known.accusers.size());
            if (passed(known.since, doubt.stretched(span))) {
                overdue.add(known);
            }
        }
        overdue.forEach(this::silence);
    }

    // ---- asking

    private void takeTurn() {
        int again = 0;
        for (Known known : table.suspects()) {
            if (again == OWN_SUSPECTS) {
                break;
            }
            if (!known.own || asking(known.member.start())) {
                continue;
            }
            again++;
            begin(Probe.Kind.TURN, known.member.start(), known.member.address());
        }
        if (turn >= order.size()) {
            order.clear();
            for (Known known : table.all()) {
                if (known.member.state().live()) {
                    order.add(known.member.start());
                }
            }
            for (int i = order.size() - 1; i > 0; i--) {
                Collections.swap(order, i, chance.nextInt(i + 1));
            }
            turn = 0;
        }
        while (turn < order.size()) {
            Known known = table.get(order.get(turn++));
            if (known == null || !known.member.state().live() || asking(known.member.start())) {
                continue;
            }
            counts.probes++;
            begin(Probe.Kind.TURN, known.member.start(), known.member.address());
            return;
        }
    }

    private boolean asking(long start) {
        for (Probe probe : pending.values()) {
            if (probe.target == start && probe.kind == Probe.Kind.TURN) {
                return true;
            }
        }
        return false;
    }

    private Probe begin(Probe.Kind kind, long target, Address address) {
        if (pending.size() >= PENDING) {
            return null;
        }
        Probe probe = new Probe(kind, self.start() * 31 + ++nonces, target, address, awake, heard);
        pending.put(probe.nonce, probe);
        ping(probe);
        return probe;
    }

    private void ping(Probe probe) {
        send(
                probe.address,
                new Message.Ping(probe.nonce, probe.target, news(probe.target, false), digest()));
    }

    /** News for this member; what is thought ill of it comes first, so that it can answer. */
    private Message.News news(long to, boolean agree) {
        Known known = table.get(to);
        boolean ill =
                known != null
                        && (known.member.state() == State.SUSPECT
                                || known.member.state() == State.SILENT);
        return rumours.take(
                table,
                self,
                pace.carried(table.live() + 1),
                agree,
                ill ? Rumours.entry(known.member, known) : null);
    }

    private void send(Address to, Message message) {
        sends.add(new Send(to, new Packet(self, message)));
    }

    /**
     * One helper of this zone, one of the target's, one of any other: a cut between two zones
     * leaves a way round.
     */
    private void askOthers(Probe probe) {
        Known target = table.get(probe.target);
        if (target == null || order.isEmpty()) {
            return;
        }
        counts.asked++;
        Set<Long> chosen = new HashSet<>(Set.of(probe.target));
        String theirs = target.member.zone();
        for (int helper = 0; helper < HELPERS; helper++) {
            Member best = null;
            for (int look = 0; look < 2 * HELPERS; look++) {
                Known known = table.get(order.get(chance.nextInt(order.size())));
                if (known == null
                        || known.member.state() != State.HERE
                        || chosen.contains(known.member.start())) {
                    continue;
                }
                String zone = known.member.zone();
                boolean fits =
                        helper == 0
                                ? zone.equals(theirs)
                                : helper == 1
                                        ? zone.equals(self.zone())
                                        : !zone.equals(theirs) && !zone.equals(self.zone());
                if (best == null || fits) {
                    best = known.member;
                }
                if (fits) {
                    break;
                }
            }
            if (best == null) {
                continue;
            }
            chosen.add(best.start());
            send(best.address(), new Message.Ask(probe.nonce, probe.target, probe.address));
        }
    }

    private void askSoon(Member member) {
        if (proofs.size() < PROOFS) {
            proofs.putIfAbsent(member.start(), member);
        } else {
            counts.full++;
        }
    }

    private void askProofs() {
        for (int i = 0; i < PROOFS_A_TICK && !proofs.isEmpty(); i++) {
            Member member = proofs.values().iterator().next();
            proofs.remove(member.start());
            begin(Probe.Kind.PROOF, member.start(), member.address());
        }
    }

    /**
     * Gone members are asked seldom, so that two halves find each other; the rate for each is one
     * for the whole fleet.
     */
    private void askGone() {
        int gone = table.silent().size();
        if (gone == 0) {
            return;
        }
        double aSecond = Math.min(GONE_RATE, (double) gone / (table.live() + 1));
        if (chance.nextDouble() >= aSecond * pace.tick().toNanos() / 1e9) {
            return;
        }
        int which = chance.nextInt(gone);
        for (Known known : table.silent()) {
            if (which-- == 0) {
                begin(Probe.Kind.PROOF, known.member.start(), known.member.address());
            }
        }
    }

    private void askSeeds() {
        if (seeds.isEmpty() && former.isEmpty() || awake.compareTo(nextSeed) < 0) {
            return;
        }
        askOne(seeds);
        // Apart from the seeds: many that have moved meanwhile must not stand between a newcomer
        // and the one seed that is there.
        if (table.live() == 0) {
            askOne(former);
        }
        // Among many the pause grows with their number: a seed that comes back is not asked by all
        // at once.
        Duration most = pace.times(Math.max(SEED_MOST, table.live()));
        seedPause =
                table.live() == 0 ? min(seedPause.multipliedBy(2), pace.times(SEED_MOST)) : most;
        nextSeed = awake.plus(seedPause.dividedBy(2)).plus(spread(seedPause));
    }

    private void askOne(List<Address> addresses) {
        List<Address> open = new ArrayList<>(addresses);
        open.remove(self.address());
        for (Known known : table.all()) {
            if (known.member.state().live()) {
                open.remove(known.member.address());
            }
        }
        if (!open.isEmpty()) {
            begin(Probe.Kind.PROOF, 0, open.get(chance.nextInt(open.size())));
        }
    }

    // ---- what is thought

    private void become(Known known, State state, long number) {
        State before = known.member.state();
        table.become(known, known.member.as(state, number), awake);
        if (before != state) {
            changes.add(new Change(Change.Kind.STATE, known.member, before));
        }
    }

    private Known add(Member member, boolean say) {
        if (table.size() >= Pace.MOST && !table.dropOldestGone()) {
            counts.full++;
            return null;
        }
        Known known = table.add(member, awake);
        counts.joined++;
        changes.add(new Change(Change.Kind.STATE, member, null));
        if (member.state().live()) {
            order.add(
                    order.isEmpty()
                            ? 0
                            : Math.min(
                                    order.size(),
                                    turn
                                            + chance.nextInt(
                                                    order.size()
                                                            - Math.min(turn, order.size())
                                                            + 1)),
                    member.start());
        }
        if (say) {
            rumours.add(member.start(), true);
        }
        // It may be what this server was before its restart, or another that lives: only its own
        // word tells.
        if (member.id().name().equals(self.id().name()) && member.state().live()) {
            askSoon(member);
        }
        return known;
    }

    private void alive(Known known, State state, long number) {
        boolean returned = !known.member.state().live();
        become(known, state, number);
        known.accusers.clear();
        known.own = false;
        known.unsaid = false;
        known.judged = false;
        if (returned) {
            counts.returned++;
            order.add(Math.min(order.size(), turn), known.member.start());
        }
        rumours.add(known.member.start(), returned);
    }

    private void suspect(Known known, long number, long by, boolean unsaid) {
        boolean fresh = known.member.state() != State.SUSPECT || number > known.member.number();
        if (fresh) {
            boolean back = known.member.state() == State.SILENT;
            counts.suspected++;
            become(known, State.SUSPECT, number);
            known.since = awake;
            known.accusers.clear();
            known.own = false;
            known.judged = false;
            known.unsaid = unsaid;
            if (back) {
                order.add(Math.min(order.size(), turn), known.member.start());
            }
        }
        boolean more = known.accusers.size() <= Pace.ACCUSERS && known.accusers.add(by);
        boolean said = known.unsaid && !unsaid;
        if (said) {
            known.unsaid = false;
        }
        if (!known.unsaid && (more || said)) {
            rumours.add(known.member.start(), false);
        }
    }

    private void silence(Known known) {
        counts.silenced++;
        become(known, State.SILENT, known.member.number());
        known.own = false;
        known.judged = false;
        if (!known.unsaid) {
            rumours.add(known.member.start(), false);
        }
    }

    private void left(Known known, long number) {
        counts.left++;
        become(known, State.LEFT, Math.max(number, known.member.number()));
        known.unsaid = false;
        rumours.add(known.member.start(), false);
    }

    private void forget() {
        List<Known> old = new ArrayList<>();
        for (Known known : table.gone()) {
            if (passed(known.since, pace.forget())) {
                old.add(known);
            }
        }
        int over = table.gone().size() - old.size() - pace.mostGone();
        for (Iterator<Known> i = table.gone().iterator(); over > 0 && i.hasNext(); ) {
            Known known = i.next();
            if (old.contains(known)) {
                continue;
            }
            old.add(known);
            over--;
        }
        for (Known known : old) {
            table.remove(known);
            changes.add(new Change(Change.Kind.FORGOTTEN, known.member, known.member.state()));
        }
        twins.values().removeIf(since -> passed(since, pace.times(TWIN_TOLD)));
    }

    // ---- what is heard

    /** Another server's packet; its sender is proven to have the fleet's key. */
    public void received(Packet packet, Duration now) {
        wake(now);
        Member from = packet.from();
        if (from.start() == self.start()) {
            return; // a mirror
        }
        if (from.address().equals(self.address())) {
            twin(from); // its answers would come here: nothing that it says can be asked back
            return;
        }
        heard++;
        Message message = packet.message();
        Probe answered = message instanceof Message.Ack ack ? pending.get(ack.nonce()) : null;
        if (answered != null && !answered.address.equals(from.address())) {
            answered = null;
        }
        Known known = sender(from, answered != null);
        boolean trusted = known != null && known.member.state().live();
        if (message instanceof Message.Ping ping) {
            news(ping.news(), trusted);
            send(
                    from.address(),
                    new Message.Ack(
                            ping.nonce(), news(from.start(), ping.digest() == digest()), digest()));
            compare(from, ping.digest(), trusted);
        } else if (message instanceof Message.Ack ack) {
            news(ack.news(), trusted);
            if (answered != null) {
                answered(answered, from, known);
            }
            compare(from, ack.digest(), trusted);
        } else if (message instanceof Message.Ask ask) {
            relay(ask, from);
        } else if (message instanceof Message.Reached reached) {
            reached(reached);
        } else if (message instanceof Message.Sync sync) {
            synced(sync, from);
        } else if (message instanceof Message.States states) {
            states(states, from, trusted);
        } else if (message instanceof Message.Want want) {
            wanted(want, from);
        } else if (message instanceof Message.Full full && trusted) {
            for (Member member : full.members()) {
                told(member, false);
            }
            if (self.state() == State.JOINING) {
                joined();
            }
        }
    }

    /** The sender's own word about itself, before all else that it says. */
    private Known sender(Member from, boolean answers) {
        Known known = table.get(from.start());
        if (from.id().name().equals(self.id().name()) && from.state().live()) {
            twin(from);
        }
        if (known == null) {
            if (from.state() == State.LEFT) {
                return null;
            }
            if (!answers) {
                askSoon(from); // what it can send need not mean that it can hear
                return null;
            }
            known = add(from, true);
            if (known != null) {
                replaced(from);
            }
            if (self.state() == State.JOINING) {
                sync(from);
            }
            return known;
        }
        State state = known.member.state();
        if (state == State.LEFT) {
            return known;
        }
        if (from.state() == State.LEFT) {
            left(known, from.number());
        } else if (state == State.SILENT) {
            // Guards against flapping under a one-way cut: only an answer brings it back, and its
            // own new number.
            if (answers
                    && (from.number() > known.member.number()
                            || known.unsaid && from.number() == known.member.number())) {
                alive(known, from.state(), from.number());
            } else if (!answers) {
                askSoon(from);
            }
        } else if (from.number() > known.member.number()
                || known.unsaid && answers && from.number() == known.member.number()) {
            alive(known, from.state(), from.number());
        }
        return known;
    }

    private void twin(Member from) {
        if (twins.containsKey(from.start())) {
            return;
        }
        if (twins.size() >= Pace.ACCUSERS * HELPERS) {
            return; // the operators know by now
        }
        twins.put(from.start(), awake);
        counts.twins++;
        changes.add(new Change(Change.Kind.TWIN, from, null));
    }

    /** Somebody has answered at an address: whoever was there before is not there any more. */
    private void replaced(Member from) {
        for (Known known : List.copyOf(table.all())) {
            if (known.member.start() != from.start()
                    && known.member.address().equals(from.address())
                    && known.member.state().live()) {
                known.unsaid = false;
                silence(known);
            }
        }
    }

    private void news(Message.News news, boolean trusted) {
        for (Entry entry : news.entries()) {
            if (entry.start() == self.start()) {
                aboutMe(entry);
            } else if (trusted) {
                told(entry);
            }
        }
        if (trusted) {
            for (Member member : news.full()) {
                told(member, true);
            }
        }
    }

    private void aboutMe(Entry entry) {
        boolean ill = entry.state() == State.SUSPECT || entry.state() == State.SILENT;
        if (!ill || entry.number() < self.number() || self.state() == State.LEFT) {
            return;
        }
        self = self.as(self.state(), entry.number() + 1);
        counts.refuted++;
        if (entry.state() == State.SUSPECT) {
            doubt.more();
        }
        rumours.add(self.start(), false);
        changes.add(new Change(Change.Kind.REFUTED, self, entry.state()));
    }

    /** What somebody who is in says of another. */
    private void told(Entry entry) {
        Known known = table.get(entry.start());
        if (known == null) {
            if (entry.state().live()) {
                counts.unknown++; // the next comparison of views brings it
            }
            return;
        }
        Member member = known.member;
        if (member.state() == State.LEFT) {
            return;
        }
        switch (entry.state()) {
            case LEFT -> left(known, entry.number());
            case JOINING, HERE -> {
                boolean doubted = known.unsaid && entry.number() == member.number();
                if (entry.number() > member.number() || doubted) {
                    alive(known, entry.state(), entry.number());
                }
            }
            case SUSPECT -> {
                boolean judged =
                        member.state() == State.SILENT && entry.number() == member.number();
                if (entry.number() >= member.number() && !judged) {
                    suspect(known, entry.number(), entry.by(), false);
                }
            }
            case SILENT -> {
                if (entry.number() >= member.number()) {
                    judged(known, entry.number());
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    /**
     * Another's verdict takes nobody away at once: whoever was seen here gets the shortest time to
     * answer for itself. Two halves that meet again would else judge each other whole.
     */
    private void judged(Known known, long number) {
        State state = known.member.state();
        if (state == State.SILENT) {
            if (number > known.member.number()) {
                become(known, State.SILENT, number);
            }
            known.unsaid = false;
        } else if (state == State.SUSPECT
                && number == known.member.number()
                && passed(known.since, pace.shortest(table.live() + 1).dividedBy(2))) {
            known.unsaid = false;
            silence(known);
        } else {
            if (state != State.SUSPECT || number > known.member.number()) {
                suspect(known, number, 0, true);
                askSoon(known.member);
            }
            known.judged = true;
        }
    }

    private void told(Member member, boolean say) {
        if (member.start() == self.start()) {
            aboutMe(member.entry(0));
            return;
        }
        if (table.get(member.start()) != null) {
            told(member.entry(0));
        } else if (member.address().equals(self.address())) {
            // What was at this address before this start is not there any more; nobody can know it
            // better.
            if (member.state().live()) {
                add(member.as(State.SILENT, member.number()), true);
            }
        } else if (member.state().live()) {
            add(member, say);
        }
    }

    private void answered(Probe probe, Member from, Known known) {
        pending.remove(probe.nonce);
        boolean right = probe.target == 0 || probe.target == from.start();
        if (right && probe.kind == Probe.Kind.TURN) {
            doubt.less();
        }
        if (right && probe.kind == Probe.Kind.RELAY) {
            send(probe.origin, new Message.Reached(probe.originNonce, from.entry(0)));
        }
        if (!right) {
            Known before = table.get(probe.target);
            if (before != null && before.member.state().live()) {
                before.unsaid = false;
                silence(before);
            }
        }
    }

    private void relay(Message.Ask ask, Member from) {
        if (ask.target() == self.start()) {
            return;
        }
        Probe probe = begin(Probe.Kind.RELAY, ask.target(), ask.address());
        if (probe == null) {
            return;
        }
        probe.origin = from.address();
        probe.originNonce = ask.nonce();
    }

    private void reached(Message.Reached reached) {
        Probe probe = pending.get(reached.nonce());
        if (probe == null || probe.target != reached.target().start()) {
            return;
        }
        pending.remove(probe.nonce);
        if (probe.kind == Probe.Kind.TURN) {
            doubt.less();
        }
        Known known = table.get(probe.target);
        if (known == null || !known.member.state().live()) {
            return;
        }
        boolean doubted = known.unsaid && reached.target().number() == known.member.number();
        if (reached.target().number() > known.member.number() || doubted) {
            alive(known, reached.target().state(), reached.target().number());
        }
    }

    // ---- comparing views

    private void compare(Member from, long digest, boolean trusted) {
        if (digest == digest()) {
            differs = null;
            return;
        }
        if (differs == null) {
            differs = awake;
        }
        if (!trusted
                || !passed(differs, pace.times(DIFFERS))
                || !passed(compared, pace.times(COMPARES))) {
            return;
        }
        compared = awake.plus(spread(pace.times(COMPARES)));
        sync(from);
    }

    private void sync(Member with) {
        counts.syncs++;
        send(with.address(), new Message.Sync(table.digests(self), true));
    }

    private void synced(Message.Sync sync, Member from) {
        // Guards against a whole fleet that asks one server: the others come again.
        if (toldLeft < 1 || sync.digests().size() != Message.BUCKETS) {
            counts.syncsRefused++;
            return;
        }
        toldLeft--;
        List<Long> mine = table.digests(self);
        Set<Integer> differ = new HashSet<>();
        for (int i = 0; i < Message.BUCKETS; i++) {
            if (!mine.get(i).equals(sync.digests().get(i))) {
                differ.add(i);
            }
        }
        List<Entry> entries = new ArrayList<>();
        if (differ.contains(Table.bucket(self.start()))) {
            entries.add(self.entry(0));
        }
        for (Known known : table.all()) {
            if (!known.unsaid && differ.contains(Table.bucket(known.member.start()))) {
                entries.add(Rumours.entry(known.member, known));
            }
        }
        if (entries.size() > PAGES * Message.PAGE) {
            Collections.rotate(entries, -chance.nextInt(entries.size()));
        }
        int pages =
                Math.max(1, Math.min(PAGES, (entries.size() + Message.PAGE - 1) / Message.PAGE));
        for (int page = 0; page < pages; page++) {
            send(
                    from.address(),
                    new Message.States(
                            List.copyOf(
                                    entries.subList(
                                            page * Message.PAGE,
                                            Math.min(entries.size(), (page + 1) * Message.PAGE)))));
        }
        if (sync.back() && !differ.isEmpty()) {
            send(from.address(), new Message.Sync(mine, false));
        }
    }

    private void states(Message.States states, Member from, boolean trusted) {
        List<Long> want = new ArrayList<>();
        for (Entry entry : states.entries()) {
            if (entry.start() == self.start()) {
                aboutMe(entry);
            } else if (trusted && table.get(entry.start()) != null) {
                told(entry);
            } else if (trusted && entry.state().live()) {
                want.add(entry.start());
            }
        }
        if (!want.isEmpty()) {
            send(from.address(), new Message.Want(want));
        } else if (trusted && self.state() == State.JOINING) {
            joined();
        }
    }

    private void wanted(Message.Want want, Member from) {
        List<Member> found = new ArrayList<>();
        for (long start : want.starts()) {
            if (start == self.start()) {
                found.add(self);
            }
            Known known = table.get(start);
            if (known != null && known.member.state().live()) {
                found.add(known.member);
            }
        }
        for (int i = 0; i < found.size(); i += Message.FULL_PAGE) {
            send(
                    from.address(),
                    new Message.Full(
                            List.copyOf(
                                    found.subList(
                                            i, Math.min(found.size(), i + Message.FULL_PAGE)))));
        }
    }

    // ---- coming and going

    private void joined() {
        self = self.as(State.HERE, self.number() + 1);
        rumours.add(self.start(), true);
        changes.add(new Change(Change.Kind.JOINED, self, State.JOINING));
    }

    /**
     * This server leaves: all that are alive hear it at once, each some times. It still answers.
     */
    public void leave(Duration now) {
        wake(now);
        if (self.state() == State.LEFT) {
            return;
        }
        self = self.as(State.LEFT, self.number() + 1);
        rumours.add(self.start(), false);
        leaves = LEAVES - 1;
        sayLeft();
    }

    private void sayLeft() {
        Message word = new Message.States(List.of(self.entry(0)));
        for (Known known : table.all()) {
            if (known.member.state().live()) {
                send(known.member.address(), word);
            }
        }
    }
}
