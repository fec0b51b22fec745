package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.ofSeconds;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Checks whether queued invocations can still end by their completion deadlines, given the work
 * ahead of them, and estimates how long a new one would wait. An infeasible invocation is rejected
 * at once, while another server may still be in time (deadline-aware shedding).
 */
final class FeasibilityCheck {
    /**
     * Mean time in downstream calls, as a share of the latency objective, above which it is added
     * to the time that an invocation needs. The safety factor covers shorter calls.
     */
    private static final double LONG_CALL_SHARE = 0.4;

    /** Smallest part of its expected cost assumed to remain of a run, however long it ran. */
    private static final double MIN_REMAINING_SHARE = 1.0 / 4;

    private final CostEstimator costs;
    private final EvictionPolicy eviction;

    FeasibilityCheck(CostEstimator costs, EvictionPolicy eviction) {
        this.costs = costs;
        this.eviction = eviction;
    }

    /**
     * Returns an invocation to remove from a site's queue, or empty if all that are queued for it
     * are expected to end by their completion deadlines.
     *
     * @param ordered invocations queued for the site, in starting order
     * @param queued all queued invocations
     * @param slots slots of the site and the runs that occupy them
     */
    Optional<TrackedInvocation> findVictim(
            List<TrackedInvocation> ordered,
            Collection<TrackedInvocation> queued,
            SiteLoad slots,
            Duration now) {
        if (slots.limit() == 0 && !ordered.isEmpty()) {
            return Optional.of(ordered.get(0)); // the pool has no worker
        }
        double runningSeconds = secondsUntilFree(slots, now);
        double aheadSeconds = runningSeconds;
        double safetyFactor = costs.safetyFactor(now);
        for (int i = 0; i < ordered.size(); i++) {
            TrackedInvocation tracked = ordered.get(i);
            double expected = costs.expectedSeconds(tracked.invocation(), now);
            // The mean alone would miss the deadline half the time. A free slot is used regardless.
            double ownSeconds = expected * (aheadSeconds == 0 ? 1 : safetyFactor);
            double needed =
                    aheadSeconds / slots.limit() + ownSeconds + secondsInLongCalls(tracked, now);
            if (now.plus(ofSeconds(needed)).compareTo(tracked.completionDeadline()) > 0) {
                return Optional.of(
                        aheadSeconds == runningSeconds
                                ? tracked
                                : eviction.chooseVictim(ordered.subList(0, i + 1), queued));
            }
            aheadSeconds += expected;
        }
        return Optional.empty();
    }

    /** Returns the expected time until an invocation queued now for the site would start. */
    Duration expectedWait(
            Collection<TrackedInvocation> queuedForSite, SiteLoad slots, Duration now) {
        double aheadSeconds = secondsUntilFree(slots, now);
        for (TrackedInvocation tracked : queuedForSite) {
            aheadSeconds += costs.expectedSeconds(tracked.invocation(), now);
        }
        return ofSeconds(aheadSeconds / slots.limit());
    }

    private double secondsInLongCalls(TrackedInvocation tracked, Duration now) {
        if (!tracked.operation().makesCalls()) {
            return 0;
        }
        double seconds = costs.meanSecondsInCalls(now);
        double objective = inSeconds(tracked.operation().latencyObjective());
        return seconds > objective * LONG_CALL_SHARE ? seconds : 0;
    }

    /** Returns the seconds of work ahead of a new invocation; zero if a slot is free. */
    private double secondsUntilFree(SiteLoad slots, Duration now) {
        if (slots.running().size() < slots.limit()) {
            return 0;
        }
        double remaining = 0;
        for (TrackedInvocation tracked : slots.running()) {
            double expected = costs.expectedSeconds(tracked.invocation(), now);
            double done = inSeconds(tracked.timeOnCores(now));
            remaining += Math.max(expected - done, expected * MIN_REMAINING_SHARE);
        }
        return remaining / 2; // the runs end one after another
    }
}
