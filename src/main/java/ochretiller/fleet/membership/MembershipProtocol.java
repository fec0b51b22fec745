package ochretiller.fleet.membership;

import static ochretiller.time.Durations.min;

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
public final class MembershipProtocol {
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

    private final ProtocolTiming pace;
    private final List<PeerAddress> seeds;

    /** Others that a former process knew. */
    private List<PeerAddress> former = List.of();

    private final RandomGenerator chance;
    private final MemberTable table = new MemberTable();
    private final GossipBuffer rumours = new GossipBuffer();
    private final LocalHealth localHealthScore = new LocalHealth();
    private final MembershipCounters counters = new MembershipCounters();
    private final Map<Long, Probe> pending = new LinkedHashMap<>();
    private final Map<Long, Member> proofs = new LinkedHashMap<>();
    private final List<Long> order = new ArrayList<>();
    private final List<OutboundPacket> takeOutbound = new ArrayList<>();
    private final List<MembershipChange> takeChanges = new ArrayList<>();
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
    public MembershipProtocol(
            Member self,
            List<PeerAddress> seeds,
            ProtocolTiming pace,
            RandomGenerator chance,
            Duration now) {
        this.self = self.withState(MemberState.JOINING, self.stateVersion());
        this.seeds = List.copyOf(seeds);
        this.pace = pace;
        this.chance = chance;
        this.seen = now;
        // Guards against a fleet whose timers are in step because all started together.
        this.due = now.plus(spread(pace.tickInterval()));
        this.nextTurn = spread(pace.probeInterval());
        this.nextSeed = seeds.isEmpty() ? pace.probeInterval() : Duration.ZERO;
        this.seedPause = pace.probeIntervals(SEED_FIRST);
        this.joinsBy = pace.probeIntervals(JOINS);
    }

    /**
     * Others that a former process of this server knew: asked beside the seeds, as long as nobody
     * is seen.
     */
    public void addBootstrapPeers(List<PeerAddress> others) {
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

    public MembershipCounters counters() {
        return counters;
    }

    /** How far this server doubts itself, 0 to 8. */
    public int localHealthScore() {
        return localHealthScore.level();
    }

    /** Others that are thought to be alive. */
    public int liveCount() {
        return table.live();
    }

    /** Digest of who is alive with which number: equal in two views that agree. */
    public long digest() {
        return table.digest(self);
    }

    /** News that still goes round. */
    public int pendingGossip() {
        return rumours.size();
    }

    /** When {@link #tick} is due, on the caller's clock. */
    public Duration nextTick() {
        return due;
    }

    /** Packets that are to go out since the last call. */
    public List<OutboundPacket> takeOutbound() {
        return drained(takeOutbound);
    }

    /** What has happened since the last call. */
    public List<MembershipChange> takeChanges() {
        return drained(takeChanges);
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
    public boolean isServedByLiveMember(PeerAddress address) {
        if (address == null) {
            return false;
        }
        for (MemberRecord known : table.all()) {
            if (known.member.state().isLive() && address.equals(known.member.serviceAddress())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Where the one that bears this name and is alive is asked, or null where none is; this
     * server's own for its own.
     */
    public PeerAddress addressOf(String name) {
        if (name.equals(self.id().name())) {
            return self.address();
        }
        for (MemberRecord known : table.all()) {
            if (known.member.state().isLive() && known.member.id().name().equals(name)) {
                return known.member.address();
            }
        }
        return null;
    }

    /** Whether this start is alive and bears the name. */
    public boolean isLive(String name, long start) {
        MemberRecord known = table.get(start);
        return known != null
                && known.member.state().isLive()
                && known.member.id().name().equals(name);
    }

    /** All that are known, this server first, then by name. */
    public List<MemberSnapshot> snapshot() {
        List<MemberSnapshot> all = new ArrayList<>();
        for (MemberRecord known : table.all()) {
            all.add(new MemberSnapshot(known.member, awake.minus(known.since), false));
        }
        all.sort((a, b) -> a.member().id().name().compareTo(b.member().id().name()));
        all.add(0, new MemberSnapshot(self, awake, true));
        return all;
    }

    /**
     * All that decides what this server does next, as text: equal texts go on alike. Times are told
     * from now on, so that states that differ only in how late it is are one; for explorers of all
     * orders of events.
     */
    public String describeState() {
        StringBuilder text = new StringBuilder(256);
        text.append(self.incarnation())
                .append(self.state())
                .append(self.stateVersion())
                .append(" d")
                .append(localHealthScore.level())
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
        if (self.state() == MemberState.JOINING) {
            text.append(" j").append(left(joinsBy));
        }
        for (MemberRecord known : table.all()) {
            text.append('|')
                    .append(known.member.incarnation())
                    .append(known.member.state())
                    .append(known.member.stateVersion());
            if (known.member.state() == MemberState.SUSPECT) {
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
                    .append(probe.nonce - self.incarnation() * 31 - nonces);
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

    /** The clock has come to {@link #nextTick}, or later. */
    public void tick(Duration now) {
        Duration late = now.minus(due);
        wake(now);
        if (late.compareTo(pace.tickInterval().multipliedBy(GAP_TICKS)) > 0) {
            counters.lateTicks++;
            localHealthScore.more();
        }
        due = now.plus(pace.tickInterval());
        toldLeft =
                Math.min(
                        TOLD_A_SECOND,
                        toldLeft + TOLD_A_SECOND * pace.tickInterval().toNanos() / 1e9);
        waitFor();
        if (self.state() == MemberState.LEFT) {
            if (leaves-- > 0) {
                sayLeft();
            }
            return;
        }
        judge();
        if (awake.compareTo(nextTurn) >= 0) {
            nextTurn =
                    awake.plus(pace.probeInterval())
                            .minus(spread(pace.tickInterval()).dividedBy(2));
            takeTurn();
        }
        askProofs();
        askGone();
        askSeeds();
        if (self.state() == MemberState.JOINING && awake.compareTo(joinsBy) >= 0) {
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
        Duration most = pace.tickInterval().multipliedBy(GAP_TICKS);
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
            if (passed(probe.begun, localHealthScore.stretched(pace.probeTimeout()))) {
                i.remove();
                failed.add(probe);
                continue;
            }
            if (probe.times < SAID && passed(probe.said, pace.pingRetryInterval())) {
                probe.times++;
                probe.said = awake;
                ping(probe);
            }
            if (probe.kind == Probe.Kind.TURN
                    && !probe.asked
                    && passed(probe.begun, pace.indirectProbeDelay())) {
                probe.asked = true;
                askOthers(probe);
            }
        }
        failed.forEach(this::failed);
    }

    private void failed(Probe probe) {
        if (probe.kind != Probe.Kind.TURN || self.state() == MemberState.LEFT) {
            return;
        }
        MemberRecord known = table.get(probe.target);
        if (known == null || !known.member.state().isLive()) {
            return;
        }
        counters.failedProbes++;
        // Guards against one that hears nobody and would tell the fleet that all others are gone.
        boolean deaf = heard == probe.heard;
        if (deaf) {
            localHealthScore.more();
        }
        suspect(known, known.member.stateVersion(), self.incarnation(), deaf);
        known.own = true;
    }

    private void judge() {
        List<MemberRecord> overdue = new ArrayList<>();
        for (MemberRecord known : table.suspects()) {
            Duration span =
                    known.judged
                            ? pace.minSuspicionTimeout(table.live() + 1)
                            : pace.suspicionTimeout(table.live() + 1, known.accusers.size());
            if (passed(known.since, localHealthScore.stretched(span))) {
                overdue.add(known);
            }
        }
        overdue.forEach(this::silence);
    }

    // ---- asking

    private void takeTurn() {
        int again = 0;
        for (MemberRecord known : table.suspects()) {
            if (again == OWN_SUSPECTS) {
                break;
            }
            if (!known.own || asking(known.member.incarnation())) {
                continue;
            }
            again++;
            begin(Probe.Kind.TURN, known.member.incarnation(), known.member.address());
        }
        if (turn >= order.size()) {
            order.clear();
            for (MemberRecord known : table.all()) {
                if (known.member.state().isLive()) {
                    order.add(known.member.incarnation());
                }
            }
            for (int i = order.size() - 1; i > 0; i--) {
                Collections.swap(order, i, chance.nextInt(i + 1));
            }
            turn = 0;
        }
        while (turn < order.size()) {
            MemberRecord known = table.get(order.get(turn++));
            if (known == null
                    || !known.member.state().isLive()
                    || asking(known.member.incarnation())) {
                continue;
            }
            counters.probes++;
            begin(Probe.Kind.TURN, known.member.incarnation(), known.member.address());
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

    private Probe begin(Probe.Kind kind, long target, PeerAddress address) {
        if (pending.size() >= PENDING) {
            return null;
        }
        Probe probe =
                new Probe(kind, self.incarnation() * 31 + ++nonces, target, address, awake, heard);
        pending.put(probe.nonce, probe);
        ping(probe);
        return probe;
    }

    private void ping(Probe probe) {
        send(
                probe.address,
                new MembershipMessage.Ping(
                        probe.nonce, probe.target, pendingGossip(probe.target, false), digest()));
    }

    /** News for this member; what is thought ill of it comes first, so that it can answer. */
    private MembershipMessage.Gossip pendingGossip(long to, boolean agree) {
        MemberRecord known = table.get(to);
        boolean ill =
                known != null
                        && (known.member.state() == MemberState.SUSPECT
                                || known.member.state() == MemberState.UNRESPONSIVE);
        return rumours.take(
                table,
                self,
                pace.retransmitLimit(table.live() + 1),
                agree,
                ill ? GossipBuffer.entry(known.member, known) : null);
    }

    private void send(PeerAddress to, MembershipMessage message) {
        takeOutbound.add(new OutboundPacket(to, new MembershipPacket(self, message)));
    }

    /**
     * One helper of this zone, one of the target's, one of any other: a cut between two zones
     * leaves a way round.
     */
    private void askOthers(Probe probe) {
        MemberRecord target = table.get(probe.target);
        if (target == null || order.isEmpty()) {
            return;
        }
        counters.indirectProbes++;
        Set<Long> chosen = new HashSet<>(Set.of(probe.target));
        String theirs = target.member.zone();
        for (int helper = 0; helper < HELPERS; helper++) {
            Member best = null;
            for (int look = 0; look < 2 * HELPERS; look++) {
                MemberRecord known = table.get(order.get(chance.nextInt(order.size())));
                if (known == null
                        || known.member.state() != MemberState.ALIVE
                        || chosen.contains(known.member.incarnation())) {
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
            chosen.add(best.incarnation());
            send(
                    best.address(),
                    new MembershipMessage.PingRequest(probe.nonce, probe.target, probe.address));
        }
    }

    private void askSoon(Member member) {
        if (proofs.size() < PROOFS) {
            proofs.putIfAbsent(member.incarnation(), member);
        } else {
            counters.capacityRejections++;
        }
    }

    private void askProofs() {
        for (int i = 0; i < PROOFS_A_TICK && !proofs.isEmpty(); i++) {
            Member member = proofs.values().iterator().next();
            proofs.remove(member.incarnation());
            begin(Probe.Kind.PROOF, member.incarnation(), member.address());
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
        if (chance.nextDouble() >= aSecond * pace.tickInterval().toNanos() / 1e9) {
            return;
        }
        int which = chance.nextInt(gone);
        for (MemberRecord known : table.silent()) {
            if (which-- == 0) {
                begin(Probe.Kind.PROOF, known.member.incarnation(), known.member.address());
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
        Duration most = pace.probeIntervals(Math.max(SEED_MOST, table.live()));
        seedPause =
                table.live() == 0
                        ? min(seedPause.multipliedBy(2), pace.probeIntervals(SEED_MOST))
                        : most;
        nextSeed = awake.plus(seedPause.dividedBy(2)).plus(spread(seedPause));
    }

    private void askOne(List<PeerAddress> addresses) {
        List<PeerAddress> open = new ArrayList<>(addresses);
        open.remove(self.address());
        for (MemberRecord known : table.all()) {
            if (known.member.state().isLive()) {
                open.remove(known.member.address());
            }
        }
        if (!open.isEmpty()) {
            begin(Probe.Kind.PROOF, 0, open.get(chance.nextInt(open.size())));
        }
    }

    // ---- what is thought

    private void become(MemberRecord known, MemberState state, long number) {
        MemberState before = known.member.state();
        table.become(known, known.member.withState(state, number), awake);
        if (before != state) {
            takeChanges.add(
                    new MembershipChange(
                            MembershipChange.Kind.STATE_CHANGED, known.member, before));
        }
    }

    private MemberRecord add(Member member, boolean say) {
        if (table.size() >= ProtocolTiming.MAX_MEMBERS && !table.dropOldestGone()) {
            counters.capacityRejections++;
            return null;
        }
        MemberRecord known = table.add(member, awake);
        counters.joined++;
        takeChanges.add(new MembershipChange(MembershipChange.Kind.STATE_CHANGED, member, null));
        if (member.state().isLive()) {
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
                    member.incarnation());
        }
        if (say) {
            rumours.add(member.incarnation(), true);
        }
        // It may be what this server was before its restart, or another that lives: only its own
        // word tells.
        if (member.id().name().equals(self.id().name()) && member.state().isLive()) {
            askSoon(member);
        }
        return known;
    }

    private void alive(MemberRecord known, MemberState state, long number) {
        boolean returned = !known.member.state().isLive();
        become(known, state, number);
        known.accusers.clear();
        known.own = false;
        known.unsaid = false;
        known.judged = false;
        if (returned) {
            counters.returned++;
            order.add(Math.min(order.size(), turn), known.member.incarnation());
        }
        rumours.add(known.member.incarnation(), returned);
    }

    private void suspect(MemberRecord known, long number, long by, boolean unsaid) {
        boolean fresh =
                known.member.state() != MemberState.SUSPECT || number > known.member.stateVersion();
        if (fresh) {
            boolean back = known.member.state() == MemberState.UNRESPONSIVE;
            counters.suspicions++;
            become(known, MemberState.SUSPECT, number);
            known.since = awake;
            known.accusers.clear();
            known.own = false;
            known.judged = false;
            known.unsaid = unsaid;
            if (back) {
                order.add(Math.min(order.size(), turn), known.member.incarnation());
            }
        }
        boolean more =
                known.accusers.size() <= ProtocolTiming.MAX_CONFIRMATIONS && known.accusers.add(by);
        boolean said = known.unsaid && !unsaid;
        if (said) {
            known.unsaid = false;
        }
        if (!known.unsaid && (more || said)) {
            rumours.add(known.member.incarnation(), false);
        }
    }

    private void silence(MemberRecord known) {
        counters.becameUnresponsive++;
        become(known, MemberState.UNRESPONSIVE, known.member.stateVersion());
        known.own = false;
        known.judged = false;
        if (!known.unsaid) {
            rumours.add(known.member.incarnation(), false);
        }
    }

    private void left(MemberRecord known, long number) {
        counters.left++;
        become(known, MemberState.LEFT, Math.max(number, known.member.stateVersion()));
        known.unsaid = false;
        rumours.add(known.member.incarnation(), false);
    }

    private void forget() {
        List<MemberRecord> old = new ArrayList<>();
        for (MemberRecord known : table.gone()) {
            if (passed(known.since, pace.departedRetention())) {
                old.add(known);
            }
        }
        int over = table.gone().size() - old.size() - pace.maxDeparted();
        for (Iterator<MemberRecord> i = table.gone().iterator(); over > 0 && i.hasNext(); ) {
            MemberRecord known = i.next();
            if (old.contains(known)) {
                continue;
            }
            old.add(known);
            over--;
        }
        for (MemberRecord known : old) {
            table.remove(known);
            takeChanges.add(
                    new MembershipChange(
                            MembershipChange.Kind.FORGOTTEN, known.member, known.member.state()));
        }
        twins.values().removeIf(since -> passed(since, pace.probeIntervals(TWIN_TOLD)));
    }

    // ---- what is heard

    /** Another server's packet; its sender is proven to have the fleet's key. */
    public void receive(MembershipPacket packet, Duration now) {
        wake(now);
        Member from = packet.sender();
        if (from.incarnation() == self.incarnation()) {
            return; // a mirror
        }
        if (from.address().equals(self.address())) {
            twin(from); // its answers would come here: nothing that it says can be asked back
            return;
        }
        heard++;
        MembershipMessage message = packet.message();
        Probe answered =
                message instanceof MembershipMessage.Ack ack ? pending.get(ack.nonce()) : null;
        if (answered != null && !answered.address.equals(from.address())) {
            answered = null;
        }
        MemberRecord known = sender(from, answered != null);
        boolean trusted = known != null && known.member.state().isLive();
        if (message instanceof MembershipMessage.Ping ping) {
            pendingGossip(ping.gossip(), trusted);
            send(
                    from.address(),
                    new MembershipMessage.Ack(
                            ping.nonce(),
                            pendingGossip(from.incarnation(), ping.digest() == digest()),
                            digest()));
            compare(from, ping.digest(), trusted);
        } else if (message instanceof MembershipMessage.Ack ack) {
            pendingGossip(ack.gossip(), trusted);
            if (answered != null) {
                answered(answered, from, known);
            }
            compare(from, ack.digest(), trusted);
        } else if (message instanceof MembershipMessage.PingRequest ask) {
            relay(ask, from);
        } else if (message instanceof MembershipMessage.IndirectAck reached) {
            reached(reached);
        } else if (message instanceof MembershipMessage.DigestSync sync) {
            synced(sync, from);
        } else if (message instanceof MembershipMessage.UpdatePage states) {
            states(states, from, trusted);
        } else if (message instanceof MembershipMessage.MemberRequest want) {
            wanted(want, from);
        } else if (message instanceof MembershipMessage.MemberPage full && trusted) {
            for (Member member : full.members()) {
                told(member, false);
            }
            if (self.state() == MemberState.JOINING) {
                joined();
            }
        }
    }

    /** The sender's own word about itself, before all else that it says. */
    private MemberRecord sender(Member from, boolean answers) {
        MemberRecord known = table.get(from.incarnation());
        if (from.id().name().equals(self.id().name()) && from.state().isLive()) {
            twin(from);
        }
        if (known == null) {
            if (from.state() == MemberState.LEFT) {
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
            if (self.state() == MemberState.JOINING) {
                sync(from);
            }
            return known;
        }
        MemberState state = known.member.state();
        if (state == MemberState.LEFT) {
            return known;
        }
        if (from.state() == MemberState.LEFT) {
            left(known, from.stateVersion());
        } else if (state == MemberState.UNRESPONSIVE) {
            // Guards against flapping under a one-way cut: only an answer brings it back, and its
            // own new number.
            if (answers
                    && (from.stateVersion() > known.member.stateVersion()
                            || known.unsaid
                                    && from.stateVersion() == known.member.stateVersion())) {
                alive(known, from.state(), from.stateVersion());
            } else if (!answers) {
                askSoon(from);
            }
        } else if (from.stateVersion() > known.member.stateVersion()
                || known.unsaid && answers && from.stateVersion() == known.member.stateVersion()) {
            alive(known, from.state(), from.stateVersion());
        }
        return known;
    }

    private void twin(Member from) {
        if (twins.containsKey(from.incarnation())) {
            return;
        }
        if (twins.size() >= ProtocolTiming.MAX_CONFIRMATIONS * HELPERS) {
            return; // the operators know by now
        }
        twins.put(from.incarnation(), awake);
        counters.duplicateNames++;
        takeChanges.add(new MembershipChange(MembershipChange.Kind.DUPLICATE_NAME, from, null));
    }

    /** Somebody has answered at an address: whoever was there before is not there any more. */
    private void replaced(Member from) {
        for (MemberRecord known : List.copyOf(table.all())) {
            if (known.member.incarnation() != from.incarnation()
                    && known.member.address().equals(from.address())
                    && known.member.state().isLive()) {
                known.unsaid = false;
                silence(known);
            }
        }
    }

    private void pendingGossip(MembershipMessage.Gossip news, boolean trusted) {
        for (MembershipUpdate entry : news.updates()) {
            if (entry.incarnation() == self.incarnation()) {
                aboutMe(entry);
            } else if (trusted) {
                told(entry);
            }
        }
        if (trusted) {
            for (Member member : news.members()) {
                told(member, true);
            }
        }
    }

    private void aboutMe(MembershipUpdate entry) {
        boolean ill =
                entry.state() == MemberState.SUSPECT || entry.state() == MemberState.UNRESPONSIVE;
        if (!ill
                || entry.stateVersion() < self.stateVersion()
                || self.state() == MemberState.LEFT) {
            return;
        }
        self = self.withState(self.state(), entry.stateVersion() + 1);
        counters.refutations++;
        if (entry.state() == MemberState.SUSPECT) {
            localHealthScore.more();
        }
        rumours.add(self.incarnation(), false);
        takeChanges.add(
                new MembershipChange(MembershipChange.Kind.SUSPICION_REFUTED, self, entry.state()));
    }

    /** What somebody who is in says of another. */
    private void told(MembershipUpdate entry) {
        MemberRecord known = table.get(entry.incarnation());
        if (known == null) {
            if (entry.state().isLive()) {
                counters.unknownMembers++; // the next comparison of views brings it
            }
            return;
        }
        Member member = known.member;
        if (member.state() == MemberState.LEFT) {
            return;
        }
        switch (entry.state()) {
            case LEFT -> left(known, entry.stateVersion());
            case JOINING, ALIVE -> {
                boolean doubted = known.unsaid && entry.stateVersion() == member.stateVersion();
                if (entry.stateVersion() > member.stateVersion() || doubted) {
                    alive(known, entry.state(), entry.stateVersion());
                }
            }
            case SUSPECT -> {
                boolean judged =
                        member.state() == MemberState.UNRESPONSIVE
                                && entry.stateVersion() == member.stateVersion();
                if (entry.stateVersion() >= member.stateVersion() && !judged) {
                    suspect(known, entry.stateVersion(), entry.accuser(), false);
                }
            }
            case UNRESPONSIVE -> {
                if (entry.stateVersion() >= member.stateVersion()) {
                    judged(known, entry.stateVersion());
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    /**
     * Another's verdict takes nobody away at once: whoever was seen here gets the shortest time to
     * answer for itself. Two halves that meet again would else judge each other whole.
     */
    private void judged(MemberRecord known, long number) {
        MemberState state = known.member.state();
        if (state == MemberState.UNRESPONSIVE) {
            if (number > known.member.stateVersion()) {
                become(known, MemberState.UNRESPONSIVE, number);
            }
            known.unsaid = false;
        } else if (state == MemberState.SUSPECT
                && number == known.member.stateVersion()
                && passed(known.since, pace.minSuspicionTimeout(table.live() + 1).dividedBy(2))) {
            known.unsaid = false;
            silence(known);
        } else {
            if (state != MemberState.SUSPECT || number > known.member.stateVersion()) {
                suspect(known, number, 0, true);
                askSoon(known.member);
            }
            known.judged = true;
        }
    }

    private void told(Member member, boolean say) {
        if (member.incarnation() == self.incarnation()) {
            aboutMe(member.toUpdate(0));
            return;
        }
        if (table.get(member.incarnation()) != null) {
            told(member.toUpdate(0));
        } else if (member.address().equals(self.address())) {
            // What was at this address before this start is not there any more; nobody can know it
            // better.
            if (member.state().isLive()) {
                add(member.withState(MemberState.UNRESPONSIVE, member.stateVersion()), true);
            }
        } else if (member.state().isLive()) {
            add(member, say);
        }
    }

    private void answered(Probe probe, Member from, MemberRecord known) {
        pending.remove(probe.nonce);
        boolean right = probe.target == 0 || probe.target == from.incarnation();
        if (right && probe.kind == Probe.Kind.TURN) {
            localHealthScore.less();
        }
        if (right && probe.kind == Probe.Kind.RELAY) {
            send(
                    probe.origin,
                    new MembershipMessage.IndirectAck(probe.originNonce, from.toUpdate(0)));
        }
        if (!right) {
            MemberRecord before = table.get(probe.target);
            if (before != null && before.member.state().isLive()) {
                before.unsaid = false;
                silence(before);
            }
        }
    }

    private void relay(MembershipMessage.PingRequest ask, Member from) {
        if (ask.target() == self.incarnation()) {
            return;
        }
        Probe probe = begin(Probe.Kind.RELAY, ask.target(), ask.address());
        if (probe == null) {
            return;
        }
        probe.origin = from.address();
        probe.originNonce = ask.nonce();
    }

    private void reached(MembershipMessage.IndirectAck reached) {
        Probe probe = pending.get(reached.nonce());
        if (probe == null || probe.target != reached.target().incarnation()) {
            return;
        }
        pending.remove(probe.nonce);
        if (probe.kind == Probe.Kind.TURN) {
            localHealthScore.less();
        }
        MemberRecord known = table.get(probe.target);
        if (known == null || !known.member.state().isLive()) {
            return;
        }
        boolean doubted =
                known.unsaid && reached.target().stateVersion() == known.member.stateVersion();
        if (reached.target().stateVersion() > known.member.stateVersion() || doubted) {
            alive(known, reached.target().state(), reached.target().stateVersion());
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
                || !passed(differs, pace.probeIntervals(DIFFERS))
                || !passed(compared, pace.probeIntervals(COMPARES))) {
            return;
        }
        compared = awake.plus(spread(pace.probeIntervals(COMPARES)));
        sync(from);
    }

    private void sync(Member with) {
        counters.syncs++;
        send(with.address(), new MembershipMessage.DigestSync(table.digests(self), true));
    }

    private void synced(MembershipMessage.DigestSync sync, Member from) {
        // Guards against a whole fleet that asks one server: the others come again.
        if (toldLeft < 1 || sync.digests().size() != MembershipMessage.DIGEST_BUCKETS) {
            counters.syncsRejected++;
            return;
        }
        toldLeft--;
        List<Long> mine = table.digests(self);
        Set<Integer> differ = new HashSet<>();
        for (int i = 0; i < MembershipMessage.DIGEST_BUCKETS; i++) {
            if (!mine.get(i).equals(sync.digests().get(i))) {
                differ.add(i);
            }
        }
        List<MembershipUpdate> entries = new ArrayList<>();
        if (differ.contains(MemberTable.bucket(self.incarnation()))) {
            entries.add(self.toUpdate(0));
        }
        for (MemberRecord known : table.all()) {
            if (!known.unsaid && differ.contains(MemberTable.bucket(known.member.incarnation()))) {
                entries.add(GossipBuffer.entry(known.member, known));
            }
        }
        if (entries.size() > PAGES * MembershipMessage.MAX_PAGE_UPDATES) {
            Collections.rotate(entries, -chance.nextInt(entries.size()));
        }
        int pages =
                Math.max(
                        1,
                        Math.min(
                                PAGES,
                                (entries.size() + MembershipMessage.MAX_PAGE_UPDATES - 1)
                                        / MembershipMessage.MAX_PAGE_UPDATES));
        for (int page = 0; page < pages; page++) {
            send(
                    from.address(),
                    new MembershipMessage.UpdatePage(
                            List.copyOf(
                                    entries.subList(
                                            page * MembershipMessage.MAX_PAGE_UPDATES,
                                            Math.min(
                                                    entries.size(),
                                                    (page + 1)
                                                            * MembershipMessage
                                                                    .MAX_PAGE_UPDATES)))));
        }
        if (sync.reciprocal() && !differ.isEmpty()) {
            send(from.address(), new MembershipMessage.DigestSync(mine, false));
        }
    }

    private void states(MembershipMessage.UpdatePage states, Member from, boolean trusted) {
        List<Long> want = new ArrayList<>();
        for (MembershipUpdate entry : states.updates()) {
            if (entry.incarnation() == self.incarnation()) {
                aboutMe(entry);
            } else if (trusted && table.get(entry.incarnation()) != null) {
                told(entry);
            } else if (trusted && entry.state().isLive()) {
                want.add(entry.incarnation());
            }
        }
        if (!want.isEmpty()) {
            send(from.address(), new MembershipMessage.MemberRequest(want));
        } else if (trusted && self.state() == MemberState.JOINING) {
            joined();
        }
    }

    private void wanted(MembershipMessage.MemberRequest want, Member from) {
        List<Member> found = new ArrayList<>();
        for (long start : want.incarnations()) {
            if (start == self.incarnation()) {
                found.add(self);
            }
            MemberRecord known = table.get(start);
            if (known != null && known.member.state().isLive()) {
                found.add(known.member);
            }
        }
        for (int i = 0; i < found.size(); i += MembershipMessage.MAX_PAGE_MEMBERS) {
            send(
                    from.address(),
                    new MembershipMessage.MemberPage(
                            List.copyOf(
                                    found.subList(
                                            i,
                                            Math.min(
                                                    found.size(),
                                                    i + MembershipMessage.MAX_PAGE_MEMBERS)))));
        }
    }

    // ---- coming and going

    private void joined() {
        self = self.withState(MemberState.ALIVE, self.stateVersion() + 1);
        rumours.add(self.incarnation(), true);
        takeChanges.add(
                new MembershipChange(MembershipChange.Kind.JOINED, self, MemberState.JOINING));
    }

    /**
     * This server leaves: all that are alive hear it at once, each some times. It still answers.
     */
    public void leave(Duration now) {
        wake(now);
        if (self.state() == MemberState.LEFT) {
            return;
        }
        self = self.withState(MemberState.LEFT, self.stateVersion() + 1);
        rumours.add(self.incarnation(), false);
        leaves = LEAVES - 1;
        sayLeft();
    }

    private void sayLeft() {
        MembershipMessage word = new MembershipMessage.UpdatePage(List.of(self.toUpdate(0)));
        for (MemberRecord known : table.all()) {
            if (known.member.state().isLive()) {
                send(known.member.address(), word);
            }
        }
    }
}
