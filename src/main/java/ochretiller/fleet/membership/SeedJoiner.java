package ochretiller.fleet.membership;

import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Joins the fleet through seeds, and goes on asking seeds that are not in the view, so that
 * separate fleets of the same seeds merge. While nobody is known, addresses that a previous process
 * knew ({@link BootstrapPeers}) are asked too, since all seeds may be gone by then.
 */
final class SeedJoiner {
    /** First pause between two attempts, in protocol periods; it doubles while nobody is known. */
    private static final int FIRST_PAUSE_PERIODS = 3;

    /** Longest pause while nobody is known, in protocol periods. */
    private static final int MAX_PAUSE_PERIODS = 50;

    /** A newcomer whose seeds do not answer counts as joined after so many protocol periods. */
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

    /** Addresses to ask beside the seeds while nobody is known. */
    void addBootstrapPeers(List<PeerAddress> peers) {
        bootstrapPeers = List.copyOf(peers);
        if (!bootstrapPeers.isEmpty()) {
            nextAttemptAt = Duration.ZERO;
        }
    }

    /** Asks a seed, once its time has come. */
    void contactSeedsIfDue() {
        boolean hasNobodyToAsk = seeds.isEmpty() && bootstrapPeers.isEmpty();
        if (hasNobodyToAsk || !context.clock().hasReached(nextAttemptAt)) {
            return;
        }
        contactOneOf(seeds);
        // Bootstrap peers get a ping of their own: many that have moved since must not stand
        // between a newcomer and the one seed that is there.
        if (context.table().liveCount() == 0) {
            contactOneOf(bootstrapPeers);
        }
        pause = nextPause();
        nextAttemptAt = context.clock().now().plus(pause.dividedBy(2)).plus(jitter());
    }

    private Duration jitter() {
        return context.randomPartOf(pause);
    }

    /** In a large fleet the pause grows with its size: a seed that returns is not asked by all. */
    private Duration nextPause() {
        ProtocolTiming timing = context.timing();
        int known = context.table().liveCount();
        if (known == 0) {
            return min(pause.multipliedBy(2), timing.probeIntervals(MAX_PAUSE_PERIODS));
        }
        return timing.probeIntervals(Math.max(MAX_PAUSE_PERIODS, known));
    }

    private void contactOneOf(List<PeerAddress> addresses) {
        List<PeerAddress> unknown = new ArrayList<>(addresses);
        unknown.remove(context.self().address());
        for (MemberRecord known : context.table().all()) {
            if (known.isLive()) {
                unknown.remove(known.member().address());
            }
        }
        if (!unknown.isEmpty()) {
            PeerAddress drawn = unknown.get(context.random().nextInt(unknown.size()));
            probes.start(ProbeRequest.verification(drawn));
        }
    }

    /** Joins without a view of others if no seed has answered for long. */
    void joinAloneIfDue() {
        if (context.isJoining() && context.clock().hasReached(joinAloneAt)) {
            completeJoin();
        }
    }

    /** A view of the fleet has arrived; does nothing if this server has joined already. */
    void viewReceived() {
        if (context.isJoining()) {
            completeJoin();
        }
    }

    private void completeJoin() {
        context.updateSelf(MemberState.ALIVE, context.self().stateVersion() + 1);
        context.gossip().add(context.self().incarnation(), true);
        context.report(new MembershipChange.Joined(context.self()));
    }

    /** Appends all that decides how it goes on, with times relative to now. */
    void describe(StringBuilder text) {
        if (context.isJoining()) {
            text.append(" j").append(context.clock().nanosUntil(joinAloneAt));
        }
    }
}
