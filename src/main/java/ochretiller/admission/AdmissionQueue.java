package ochretiller.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Invocations that were admitted and wait for a slot. {@link QueueOrder} orders them, {@link
 * FeasibilityCheck} finds those that cannot end in time, and {@link EvictionPolicy} chooses which
 * one to remove. Slots are counted per site; order and eviction consider the whole queue.
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

    boolean hasQueuedFor(ExecutionSite site) {
        return queued.stream().anyMatch(tracked -> tracked.runsAt(site));
    }

    /** Returns the queued invocations in starting order, as a new list. */
    List<TrackedInvocation> inOrder(Duration now) {
        return order.sort(queued, now);
    }

    /** Returns the next invocation to remove to make a site's queue feasible, or empty. */
    Optional<TrackedInvocation> findInfeasible(SiteLoad slots, Duration now) {
        List<TrackedInvocation> ordered = inOrder(now);
        ordered.removeIf(tracked -> !tracked.runsAt(slots.site()));
        return feasibility.findVictim(ordered, queued, slots, now);
    }

    /** Returns the invocation to evict. The queue must not be empty. */
    TrackedInvocation evictionVictim(Duration now) {
        return eviction.chooseVictim(inOrder(now), queued);
    }

    /** Returns the expected time until an invocation queued now for the site would start. */
    Duration expectedWait(SiteLoad slots, Duration now) {
        List<TrackedInvocation> queuedForSite =
                queued.stream().filter(tracked -> tracked.runsAt(slots.site())).toList();
        return feasibility.expectedWait(queuedForSite, slots, now);
    }
}
