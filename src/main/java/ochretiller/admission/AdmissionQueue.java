package ochretiller.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Invocations that were admitted and wait for a slot. The rules by which they are ordered, found
 * infeasible and evicted are {@link QueueOrder}, {@link FeasibilityCheck} and {@link
 * EvictionPolicy}. Slots are counted by site, while order and eviction look at the whole queue.
 */
final class AdmissionQueue {
    private final QueueOrder order;
    private final EvictionPolicy eviction;
    private final FeasibilityCheck feasibility;
    private final List<TrackedInvocation> queued = new ArrayList<>();

    AdmissionQueue(QueueOrder order, EvictionPolicy eviction, FeasibilityCheck feasibility) {
        this.order = order;
        this.eviction = eviction;
        this.feasibility = feasibility;
    }

    void add(TrackedInvocation tracked) {
        tracked.enqueue();
        queued.add(tracked);
    }

    /** Removes an invocation, and returns whether it was queued. */
    boolean remove(TrackedInvocation tracked) {
        return queued.remove(tracked);
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    boolean isAnyQueuedFor(ExecutionSite site) {
        return queued.stream().anyMatch(tracked -> tracked.runsAt(site));
    }

    /** Returns what is queued, the one to start first in front, in a list of its own. */
    List<TrackedInvocation> inOrder(Duration now) {
        return order.sort(queued, now);
    }

    /** Returns what has to go from the queue of a site to keep the rest feasible, if anything. */
    Optional<TrackedInvocation> findInfeasible(SiteLoad slots, Duration now) {
        List<TrackedInvocation> ordered = inOrder(now);
        ordered.removeIf(tracked -> !tracked.runsAt(slots.site()));
        return feasibility.findVictim(ordered, queued, slots, now);
    }

    /** Returns what goes where anything has to. The queue must not be empty. */
    TrackedInvocation evictionVictim(Duration now) {
        return eviction.chooseVictim(inOrder(now), queued);
    }

    /** Returns the time until a newcomer for the site would start. */
    Duration expectedWait(SiteLoad slots, Duration now) {
        List<TrackedInvocation> queuedThere =
                queued.stream().filter(tracked -> tracked.runsAt(slots.site())).toList();
        return feasibility.expectedWait(queuedThere, slots, now);
    }
}
