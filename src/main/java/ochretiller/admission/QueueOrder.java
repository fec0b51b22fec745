package ochretiller.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The order in which queued invocations start: by value density, which is billed value over
 * expected cost (billed value alone where it is paid for work); among equals round-robin over the
 * clients and operations; then the one that arrived first.
 */
final class QueueOrder {
    private static final Comparator<Ranked> BY_RANK =
            Comparator.<Ranked>comparingDouble(ranked -> -ranked.density)
                    .thenComparingInt(ranked -> ranked.round)
                    .thenComparing(ranked -> ranked.tracked.invocation().arrivedAt())
                    .thenComparing(ranked -> ranked.tracked.id().value());

    private final CostEstimator costs;
    private final BillingBasis billing;

    QueueOrder(CostEstimator costs, BillingBasis billing) {
        this.costs = costs;
        this.billing = billing;
    }

    /** Returns the queued invocations, the one to start first in front, in a list of its own. */
    List<TrackedInvocation> sort(Collection<TrackedInvocation> queued, Duration now) {
        Map<ClientOperation, Integer> rounds = new HashMap<>();
        List<Ranked> ranked = new ArrayList<>(queued.size());
        for (TrackedInvocation tracked : queued) {
            double density = valueDensity(tracked, now);
            int round = rounds.merge(tracked.clientOperation(), 1, Integer::sum);
            ranked.add(new Ranked(tracked, density, round));
        }
        ranked.sort(BY_RANK);
        List<TrackedInvocation> sorted = new ArrayList<>(ranked.size());
        for (Ranked each : ranked) {
            sorted.add(each.tracked);
        }
        return sorted;
    }

    private double valueDensity(TrackedInvocation tracked, Duration now) {
        double value = tracked.operation().billedValue() * tracked.priorityWeight();
        return billing == BillingBasis.PER_UNIT_OF_WORK
                ? value
                : value / costs.expectedSecondsAboveZero(tracked.invocation(), now);
    }

    /** A queued invocation with what it is ranked by; the round is its round-robin position. */
    private record Ranked(TrackedInvocation tracked, double density, int round) {}
}
