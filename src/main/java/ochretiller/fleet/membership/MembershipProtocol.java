package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * One server's part in the group membership protocol, and its view of the fleet.
 *
 * <p>Usage: call {@link #tick} when {@link #nextTick} is due and {@link #receive} for each packet;
 * after each of them send what {@link #takeOutbound} returns and act on {@link #takeChanges}. The
 * time handed in is monotonic; a span for which the caller did not call counts as a pause and not
 * as time in which others could have answered ({@link AwakeClock}).
 *
 * <p>All methods belong to the one thread that owns the protocol. It draws random numbers from the
 * generator it is given and does nothing else that could differ between two runs, so that
 * simulations can be replayed. Sources and departures from them: see the package.
 */
public final class MembershipProtocol {
    private static final Duration FORGET_INTERVAL = Duration.ofSeconds(1);

    private final ProtocolContext context;
    private final AwakeClock clock;
    private final ProbeSchedule schedule;
    private final PendingProbes probes;
    private final ReachabilityVerifier verifier;
    private final MemberTransitions transitions;
    private final UpdateMerger merger;
    private final FailureDetector detector;
    private final SeedJoiner joiner;
    private final ViewSynchronizer synchronizer;
    private final DuplicateNameDetector duplicates;
    private final SenderTracker senders;
    private final LeaveAnnouncer leaveAnnouncer;

    /** On the caller's clock; all other times are on the awake clock. */
    private Duration nextTick;

    private Duration nextForget = Duration.ZERO;

    /**
     * Creates a view that has nobody in it yet.
     *
     * @param self this server, with an incarnation of its own
     * @param seeds where other members may be; one that is alive is enough
     * @param random drawn from in a fixed order
     * @param now the caller's monotonic time
     */
    public MembershipProtocol(
            Member self,
            List<PeerAddress> seeds,
            ProtocolTiming timing,
            RandomGenerator random,
            Duration now) {
        clock = new AwakeClock(timing.tickInterval(), now);
        Member joining = self.withState(MemberState.JOINING, self.stateVersion());
        context = new ProtocolContext(joining, timing, random, clock);
        // A random first tick, against a fleet whose timers are in step because all started at
        // once.
        nextTick = now.plus(context.randomPartOf(timing.tickInterval()));
        schedule = new ProbeSchedule(random);
        probes = new PendingProbes(context);
        verifier = new ReachabilityVerifier(context, probes);
        transitions = new MemberTransitions(context, schedule, verifier);
        merger = new UpdateMerger(context, transitions, verifier);
        detector = new FailureDetector(context, schedule, probes, transitions);
        joiner = new SeedJoiner(context, probes, seeds);
        synchronizer = new ViewSynchronizer(context, merger, joiner);
        duplicates = new DuplicateNameDetector(context);
        senders = new SenderTracker(context, transitions, verifier, synchronizer, duplicates);
        leaveAnnouncer = new LeaveAnnouncer(context);
    }

    /** Addresses that a previous process knew, asked beside the seeds while nobody is known. */
    public void addBootstrapPeers(List<PeerAddress> peers) {
        joiner.addBootstrapPeers(peers);
    }

    /** When {@link #tick} is due, on the caller's clock. */
    public Duration nextTick() {
        return nextTick;
    }

    /** Does what is due; called at {@link #nextTick} or later. */
    public void tick(Duration now) {
        ProtocolTiming timing = context.timing();
        Duration delay = now.minus(nextTick);
        clock.advance(now);
        Duration tolerance = timing.tickInterval().multipliedBy(AwakeClock.MAX_GAP_TICKS);
        if (delay.compareTo(tolerance) > 0) {
            context.counters().increment(MembershipCounter.LATE_TICKS);
            context.health().degrade();
        }
        nextTick = now.plus(timing.tickInterval());
        synchronizer.refillReplyBudget();
        detector.advancePendingProbes();
        if (context.hasLeft()) {
            leaveAnnouncer.announceAgain();
            return;
        }
        detector.expireSuspicions();
        detector.probeIfDue();
        verifier.pingQueued();
        verifier.pingUnresponsive();
        joiner.contactSeedsIfDue();
        joiner.joinAloneIfDue();
        forgetIfDue();
    }

    private void forgetIfDue() {
        if (!clock.hasReached(nextForget)) {
            return;
        }
        nextForget = clock.now().plus(FORGET_INTERVAL);
        transitions.forgetDeparted();
        duplicates.forgetOldReports();
    }

    /** Takes another server's packet, whose seal has shown that its sender belongs to the fleet. */
    public void receive(MembershipPacket packet, Duration now) {
        clock.advance(now);
        Member sender = packet.sender();
        if (context.isSelf(sender.incarnation())) {
            return; // a packet of its own that was reflected
        }
        if (sender.address().equals(context.self().address())) {
            // Its answers would come here: nothing that it says can be verified.
            duplicates.report(sender);
            return;
        }
        probes.packetReceived();
        Optional<Probe> answered = answeredProbe(packet);
        boolean isTrusted =
                senders.observe(sender, answered.isPresent())
                        .filter(MemberRecord::isLive)
                        .isPresent();
        dispatch(packet.message(), sender, answered, isTrusted);
    }

    /** The probe that a packet answers, if it comes from the address that was asked. */
    private Optional<Probe> answeredProbe(MembershipPacket packet) {
        if (packet.message() instanceof MembershipMessage.Ack ack) {
            return probes.find(ack.nonce())
                    .filter(probe -> probe.address().equals(packet.sender().address()));
        }
        return Optional.empty();
    }

    private void dispatch(
            MembershipMessage message, Member sender, Optional<Probe> answered, boolean isTrusted) {
        if (message instanceof MembershipMessage.Ping ping) {
            answerPing(ping, sender, isTrusted);
        } else if (message instanceof MembershipMessage.Ack ack) {
            merger.merge(ack.gossip(), isTrusted);
            answered.ifPresent(probe -> detector.probeAnswered(probe, sender));
            synchronizer.compareDigest(sender, ack.digest(), isTrusted);
        } else if (message instanceof MembershipMessage.PingRequest request) {
            detector.relay(request, sender);
        } else if (message instanceof MembershipMessage.IndirectAck ack) {
            detector.indirectAck(ack);
        } else if (message instanceof MembershipMessage.DigestSync request) {
            synchronizer.answerSync(request, sender);
        } else if (message instanceof MembershipMessage.UpdatePage page) {
            synchronizer.receivePage(page, sender, isTrusted);
        } else if (message instanceof MembershipMessage.MemberRequest request) {
            synchronizer.answerMemberRequest(request, sender);
        } else if (message instanceof MembershipMessage.MemberPage page && isTrusted) {
            synchronizer.receiveMembers(page);
        }
    }

    private void answerPing(MembershipMessage.Ping ping, Member sender, boolean isTrusted) {
        merger.merge(ping.gossip(), isTrusted);
        boolean digestsAgree = ping.digest() == context.digest();
        context.send(
                sender.address(),
                new MembershipMessage.Ack(
                        ping.nonce(),
                        context.gossipFor(sender.incarnation(), digestsAgree),
                        context.digest()));
        synchronizer.compareDigest(sender, ping.digest(), isTrusted);
    }

    /**
     * Leaves the fleet: all live members are told at once, and again with the next ticks. It still
     * answers pings afterwards.
     */
    public void leave(Duration now) {
        clock.advance(now);
        leaveAnnouncer.leave();
    }

    /** Packets to send since the last call, in order. */
    public List<OutboundPacket> takeOutbound() {
        return context.takeOutbound();
    }

    /** What has happened since the last call, in order. */
    public List<MembershipChange> takeChanges() {
        return context.takeChanges();
    }

    /** This server's own record. */
    public Member self() {
        return context.self();
    }

    /** What happened since the start. */
    public MembershipCounters counters() {
        return context.counters();
    }

    /** How far this server doubts its own health: 0, healthy, to 8. */
    public int localHealthScore() {
        return context.health().score();
    }

    /** Other members that are live. */
    public int liveCount() {
        return context.table().liveCount();
    }

    /** Digest of who is live with which state version: equal in two views that agree. */
    public long digest() {
        return context.digest();
    }

    /** Members of which news is still spread. */
    public int pendingGossip() {
        return context.gossip().size();
    }

    /** Whether a live member serves callers at this address: one incarnation may follow another. */
    public boolean isServedByLiveMember(PeerAddress address) {
        return context.table().anyLiveServesAt(address);
    }

    /** The address of the live member with this name; this server's own for its own name. */
    public Optional<PeerAddress> addressOf(String name) {
        if (name.equals(context.self().id().name())) {
            return Optional.of(context.self().address());
        }
        return context.table().findLive(name).map(known -> known.member().address());
    }

    /** Whether this very process is a live member. */
    public boolean isLive(MemberId id) {
        return context.table()
                .find(id.incarnation())
                .filter(known -> known.isLive() && known.member().id().equals(id))
                .isPresent();
    }

    /** All known members, departed ones included: this server first, then by name. */
    public List<MemberSnapshot> snapshot() {
        List<MemberSnapshot> all = context.table().snapshots(clock);
        all.sort(Comparator.comparing(each -> each.member().id().name()));
        all.add(0, new MemberSnapshot(context.self(), clock.now(), true));
        return all;
    }

    /**
     * All that decides what this server does next, as text: equal texts go on alike. Times are
     * relative to now, so that states that differ only in when they are reached are equal. For
     * explorers of all orders of events.
     */
    public String describeState() {
        Member self = context.self();
        StringBuilder text = new StringBuilder(256);
        text.append(self.incarnation()).append(self.state()).append(self.stateVersion());
        text.append(" d").append(context.health().score());
        detector.describe(text);
        leaveAnnouncer.describe(text);
        synchronizer.describe(text);
        joiner.describe(text);
        context.table().describe(text, clock);
        probes.describe(text);
        return text.append('!').append(verifier).append(context.gossip()).toString();
    }
}
