package ochretiller.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Orders queued invocations by value density, which is billed value over expected cost (or billed
 * value alone if it is paid per unit of work), then round-robin over clients and operations, then
 * by arrival.
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

    /** Returns the queued invocations in starting order, as a new list. */
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
                : value / costs.positiveExpectedSeconds(tracked.invocation(), now);
    }

    /** A queued invocation with its sort keys; {@code round} is its round-robin position. */
    private record Ranked(TrackedInvocation tracked, double density, int round) {}
}
