package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The group membership protocol of one server, with its view of the fleet.
 *
 * <p>Usage: call {@link #tick} when {@link #nextTick} is due and {@link #receive} for each packet.
 * After each call, send the packets of {@link #takeOutbound} and process {@link #takeChanges}. The
 * caller's time is monotonic. A long gap between calls counts as a pause of this process, not as
 * time in which other members could have answered ({@link PauseExcludingClock}).
 *
 * <p>All methods must be called on the thread that owns the protocol. The given random generator is
 * the only source of nondeterminism, so that simulations can be replayed. The package documentation
 * lists the papers and the departures from them.
 */
public final class MembershipProtocol {
    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(1);

    private final ProtocolContext context;
    private final PauseExcludingClock clock;
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

    /** On the caller's clock; all other times are on {@link #clock}. */
    private Duration nextTick;

    private Duration nextCleanup = Duration.ZERO;

    /**
     * Creates a protocol whose view contains only this server.
     *
     * @param self this server's record, with an incarnation that no other process has
     * @param seeds addresses of possible members; one live seed is enough to join
     * @param random used in a fixed order, so that runs with the same seed are identical
     * @param now the caller's monotonic time
     */
    public MembershipProtocol(
            Member self,
            List<PeerAddress> seeds,
            ProtocolTiming timing,
            RandomGenerator random,
            Duration now) {
        clock = new PauseExcludingClock(timing.tickInterval(), now);
        Member joining = self.withState(MemberState.JOINING, self.stateVersion());
        context = new ProtocolContext(joining, timing, random, clock);
        // The first tick is random: servers that start at the same time must not tick in step.
        nextTick = now.plus(context.randomFractionOf(timing.tickInterval()));
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

    /** Sets the stored peers to contact in addition to the seeds while no member is live. */
    public void setBootstrapPeers(List<PeerAddress> peers) {
        joiner.setBootstrapPeers(peers);
    }

    /** Returns when {@link #tick} is due, on the caller's clock. */
    public Duration nextTick() {
        return nextTick;
    }

    /** Runs all actions that are due; must be called at {@link #nextTick} or later. */
    public void tick(Duration now) {
        ProtocolTiming timing = context.timing();
        Duration delay = now.minus(nextTick);
        clock.advance(now);
        Duration tolerance = timing.tickInterval().multipliedBy(PauseExcludingClock.MAX_GAP_TICKS);
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
        cleanUpIfDue();
    }

    private void cleanUpIfDue() {
        if (!clock.hasReached(nextCleanup)) {
            return;
        }
        nextCleanup = clock.now().plus(CLEANUP_INTERVAL);
        transitions.forgetDeparted();
        duplicates.forgetOldReports();
    }

    /** Processes a packet whose seal (HMAC with the fleet's key) the caller has verified. */
    public void receive(MembershipPacket packet, Duration now) {
        clock.advance(now);
        Member sender = packet.sender();
        if (context.isSelf(sender.incarnation())) {
            return; // this server's own packet, reflected by the network
        }
        if (sender.address().equals(context.self().address())) {
            // Pings to this address reach this server, so the sender cannot be verified.
            duplicates.report(sender);
            return;
        }
        probes.countReceivedPacket();
        Optional<Probe> answered = answeredProbe(packet);
        boolean isTrusted =
                senders.observe(sender, answered.isPresent())
                        .filter(MemberRecord::isLive)
                        .isPresent();
        dispatch(packet.message(), sender, answered, isTrusted);
    }

    /** The probe that a packet answers, if the packet comes from the probed address. */
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
            answered.ifPresent(probe -> detector.completeProbe(probe, sender));
            synchronizer.compareDigest(sender, ack.digest(), isTrusted);
        } else if (message instanceof MembershipMessage.PingRequest request) {
            detector.relay(request, sender);
        } else if (message instanceof MembershipMessage.IndirectAck ack) {
            detector.receiveIndirectAck(ack);
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
     * Leaves the fleet: announces it to all live members now and again on the next ticks. The
     * server still answers pings afterwards.
     */
    public void leave(Duration now) {
        clock.advance(now);
        leaveAnnouncer.leave();
    }

    /** Removes and returns the packets to send, in order. */
    public List<OutboundPacket> takeOutbound() {
        return context.takeOutbound();
    }

    /** Removes and returns the changes since the last call, in order. */
    public List<MembershipChange> takeChanges() {
        return context.takeChanges();
    }

    /** This server's own record. */
    public Member self() {
        return context.self();
    }

    /** The counters of events since the start. */
    public MembershipCounters counters() {
        return context.counters();
    }

    /** The local health score, from 0 (healthy) to 8; see {@link LocalHealth}. */
    public int localHealthScore() {
        return context.health().score();
    }

    /** The number of live members, this server excluded. */
    public int liveCount() {
        return context.table().liveCount();
    }

    /** Digest of all live members and their state versions; equal views have equal digests. */
    public long digest() {
        return context.digest();
    }

    /** The number of members with updates that are still being gossiped. */
    public int pendingGossipCount() {
        return context.gossip().size();
    }

    /** Whether any live member, of whatever incarnation, serves callers at this address. */
    public boolean isServedByLiveMember(PeerAddress address) {
        return context.table().hasLiveMemberServingAt(address);
    }

    /** The address of the live member with this name, which may be this server itself. */
    public Optional<PeerAddress> addressOf(String name) {
        if (name.equals(context.self().id().name())) {
            return Optional.of(context.self().address());
        }
        return context.table().findLive(name).map(record -> record.member().address());
    }

    /** Whether a live member has both this name and this incarnation. */
    public boolean isLive(MemberId id) {
        return context.table()
                .find(id.incarnation())
                .filter(record -> record.isLive() && record.member().id().equals(id))
                .isPresent();
    }

    /** All known members, departed ones included: this server first, the others by name. */
    public List<MemberSnapshot> snapshot() {
        List<MemberSnapshot> all = context.table().snapshots(clock);
        all.sort(Comparator.comparing(each -> each.member().id().name()));
        all.add(0, new MemberSnapshot(context.self(), clock.now(), true));
        return all;
    }

    /**
     * Returns the protocol state as text, for state-space exploration: instances with equal texts
     * behave alike from here on. Times are relative to now, so that states that differ only in the
     * time at which they were reached are equal.
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
