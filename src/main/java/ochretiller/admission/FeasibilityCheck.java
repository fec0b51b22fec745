package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.ofSeconds;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Whether queued invocations can still end by their completion deadlines, given the work ahead of
 * them, and how long a newcomer would wait. What is infeasible is rejected at once, while another
 * server may still be in time (deadline-aware shedding).
 */
final class FeasibilityCheck {
    /**
     * Mean time at downstream calls, as a share of the latency objective, over which it counts
     * towards the time that an invocation needs. Shorter calls are part of the cost's spread.
     */
    private static final double LONG_CALL_SHARE = 0.4;

    /** Least part of its expected cost that a run is taken to have left, however long it ran. */
    private static final double MIN_REMAINING_PART = 1.0 / 4;

    private final CostEstimator costs;
    private final EvictionPolicy eviction;

    FeasibilityCheck(CostEstimator costs, EvictionPolicy eviction) {
        this.costs = costs;
        this.eviction = eviction;
    }

    /**
     * Returns what has to leave the queue of a site so that all that stays is expected to end by
     * its completion deadline, or empty if nothing has to.
     *
     * @param ordered what is queued for the site, the one to start first in front
     * @param queued all that is queued
     * @param slots slots of the site and what occupies them
     */
    Optional<TrackedInvocation> findVictim(
            List<TrackedInvocation> ordered,
            Collection<TrackedInvocation> queued,
            SiteLoad slots,
            Duration now) {
        if (slots.limit() == 0 && !ordered.isEmpty()) {
            return Optional.of(ordered.get(0)); // no worker is there to wait for
        }
        double runningSeconds = secondsUntilFree(slots, now);
        double aheadSeconds = runningSeconds;
        double spreadFactor = costs.spreadFactor(now);
        for (int i = 0; i < ordered.size(); i++) {
            TrackedInvocation tracked = ordered.get(i);
            double expected = costs.expectedSeconds(tracked.invocation(), now);
            // What fits by its mean alone misses half the time. A free slot is taken all the same.
            double ownSeconds = expected * (aheadSeconds == 0 ? 1 : spreadFactor);
            double needed =
                    aheadSeconds / slots.limit() + ownSeconds + secondsAtLongCalls(tracked, now);
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

    /** Returns the time until what is queued last for the site would start. */
    Duration expectedWait(Collection<TrackedInvocation> queuedThere, SiteLoad slots, Duration now) {
        double aheadSeconds = secondsUntilFree(slots, now);
        for (TrackedInvocation tracked : queuedThere) {
            aheadSeconds += costs.expectedSeconds(tracked.invocation(), now);
        }
        return ofSeconds(aheadSeconds / slots.limit());
    }

    private double secondsAtLongCalls(TrackedInvocation tracked, Duration now) {
        if (!tracked.operation().makesCalls()) {
            return 0;
        }
        double seconds = costs.meanSecondsAtCalls(now);
        double objective = inSeconds(tracked.operation().latencyObjective());
        return seconds > objective * LONG_CALL_SHARE ? seconds : 0;
    }

    /** Seconds of work that a newcomer waits for where no slot is free. */
    private double secondsUntilFree(SiteLoad slots, Duration now) {
        if (slots.running().size() < slots.limit()) {
            return 0;
        }
        double remaining = 0;
        for (TrackedInvocation tracked : slots.running()) {
            double expected = costs.expectedSeconds(tracked.invocation(), now);
            double done = inSeconds(tracked.timeOnCores(now));
            remaining += Math.max(expected - done, expected * MIN_REMAINING_PART);
        }
        return remaining / 2; // they end one after another
    }
}
