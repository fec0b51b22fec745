package ochretiller.fleet.membership;

import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Joins the fleet through seeds, and keeps pinging seeds that are not live in the view, so that
 * separate fleets with the same seeds merge. While no other member is live, the peers stored by a
 * previous process ({@link BootstrapPeers}) are pinged too, since all seeds may be gone.
 */
final class SeedJoiner {
    /** Initial pause between attempts, in protocol periods; doubles while no member is live. */
    private static final int FIRST_PAUSE_PERIODS = 3;

    /** Longest pause while no member is live, in protocol periods. */
    private static final int MAX_PAUSE_PERIODS = 50;

    /** Protocol periods after which a server that has received no view joins alone. */
    private static final int JOIN_ALONE_PERIODS = 20;

    private final ProtocolContext context;
    private final PendingProbes probes;
    private final List<PeerAddress> seeds;
    private final Duration joinAloneAt;
    private List<PeerAddress> bootstrapPeers = List.of();
    private Duration nextAttemptAt;
    private Duration pause;

    SeedJoiner(ProtocolContext context, PendingProbes probes, List<PeerAddress> seeds) {
        ProtocolTiming timing = context.timing();
        this.context = context;
        this.probes = probes;
        this.seeds = List.copyOf(seeds);
        this.joinAloneAt = timing.probeIntervals(JOIN_ALONE_PERIODS);
        this.nextAttemptAt = seeds.isEmpty() ? timing.probeInterval() : Duration.ZERO;
        this.pause = timing.probeIntervals(FIRST_PAUSE_PERIODS);
    }

    /** Sets the peers to ping in addition to the seeds while no member is live. */
    void setBootstrapPeers(List<PeerAddress> peers) {
        bootstrapPeers = List.copyOf(peers);
        if (!bootstrapPeers.isEmpty()) {
            nextAttemptAt = Duration.ZERO;
        }
    }

    /** Pings one seed, and one bootstrap peer while no member is live, if an attempt is due. */
    void contactSeedsIfDue() {
        boolean hasNoAddresses = seeds.isEmpty() && bootstrapPeers.isEmpty();
        if (hasNoAddresses || !context.clock().hasReached(nextAttemptAt)) {
            return;
        }
        contactOneOf(seeds);
        // A separate ping: many bootstrap peers with outdated addresses must not delay the ping to
        // the one seed that is up.
        if (context.table().liveCount() == 0) {
            contactOneOf(bootstrapPeers);
        }
        pause = nextPause();
        nextAttemptAt = context.clock().now().plus(pause.dividedBy(2)).plus(jitter());
    }

    private Duration jitter() {
        return context.randomFractionOf(pause);
    }

    /** Grows with the fleet size, so that a returning seed is not pinged by all members at once. */
    private Duration nextPause() {
        ProtocolTiming timing = context.timing();
        int liveMembers = context.table().liveCount();
        if (liveMembers == 0) {
            return min(pause.multipliedBy(2), timing.probeIntervals(MAX_PAUSE_PERIODS));
        }
        return timing.probeIntervals(Math.max(MAX_PAUSE_PERIODS, liveMembers));
    }

    private void contactOneOf(List<PeerAddress> addresses) {
        List<PeerAddress> notLive = new ArrayList<>(addresses);
        notLive.remove(context.self().address());
        for (MemberRecord record : context.table().all()) {
            if (record.isLive()) {
                notLive.remove(record.member().address());
            }
        }
        if (!notLive.isEmpty()) {
            PeerAddress address = notLive.get(context.random().nextInt(notLive.size()));
            probes.start(ProbeRequest.verification(address));
        }
    }

    /** Completes the join without a view from others after {@link #JOIN_ALONE_PERIODS}. */
    void joinAloneIfDue() {
        if (context.isJoining() && context.clock().hasReached(joinAloneAt)) {
            completeJoin();
        }
    }

    /** Completes the join when a view has arrived; does nothing if it is complete already. */
    void onViewReceived() {
        if (context.isJoining()) {
            completeJoin();
        }
    }

    private void completeJoin() {
        context.updateSelf(MemberState.ALIVE, context.self().stateVersion() + 1);
        context.gossip().add(context.self().incarnation(), true);
        context.report(new MembershipChange.Joined(context.self()));
    }

    /** Appends the state as text, with times relative to now. */
    void describe(StringBuilder text) {
        if (context.isJoining()) {
            text.append(" j").append(context.clock().nanosUntil(joinAloneAt));
        }
    }
}
