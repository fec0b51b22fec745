package ochretiller.budgets;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.ofSeconds;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Divides the capacity of a broker among teams. Each has a token bucket, filled at its guaranteed
 * rate. Overflow, and capacity that is guaranteed to no team, is idle work and shared by weight. No
 * team can use the bucket of another, so that each guarantee holds immediately, whatever others do.
 */
public final class Budgets {
    /** Maximum teams of one broker; each takes a few hundred bytes. */
    private static final int MAX_TEAMS = 10_000;

    /** Maximum idle work that accumulates, in seconds at the full capacity; the rest is lost. */
    private static final double MAX_IDLE_SECONDS = 0.05;

    /**
     * Maximum lead of a team over others that want idle work too, in seconds at the full capacity.
     * Divided by the weight of the team, because {@link TokenBucket#idlePerWeight} is.
     */
    private static final double MAX_LEAD_SECONDS = 0.01;

    /** A team counts as wanting idle work for this long after it requested some. */
    private static final Duration DEMAND_WINDOW = Duration.ofMillis(200);

    /** Maximum backoff after a rejection; guaranteed rates may change in the meantime. */
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(10);

    private static final Duration MIN_BACKOFF = Duration.ofMillis(10);

    private final double capacity;
    private final Map<TeamId, TokenBucket> buckets = new LinkedHashMap<>();
    private final Map<TeamId, Duration> lastDemandAt = new LinkedHashMap<>();
    private double idleBalance;
    private double guaranteedSum;
    private Duration refilledAt;

    /**
     * Creates budgets without teams.
     *
     * @param capacity core seconds per second that the broker has available
     * @throws IllegalArgumentException if the capacity is not positive
     */
    public Budgets(double capacity, Duration now) {
        if (!(capacity > 0)) {
            throw new IllegalArgumentException("capacity must be positive: " + capacity);
        }
        this.capacity = capacity;
        this.refilledAt = now;
    }

    /**
     * Replaces the guaranteed rates of all teams. A team that stays keeps its balance or debt.
     *
     * @throws IllegalArgumentException if there are too many teams, or their rates exceed the
     *     capacity; nothing has changed then
     */
    public void setGuaranteedRates(Map<TeamId, GuaranteedRate> guarantees, Duration now) {
        if (guarantees.size() > MAX_TEAMS) {
            throw new IllegalArgumentException("more than " + MAX_TEAMS + " teams");
        }
        double sum = guarantees.values().stream().mapToDouble(GuaranteedRate::rate).sum();
        if (sum > capacity * (1 + 1e-9)) {
            throw new IllegalArgumentException(
                    "guaranteed rates of "
                            + sum
                            + " core seconds per second exceed the capacity of "
                            + capacity);
        }
        refill(now);
        buckets.keySet().retainAll(guarantees.keySet());
        lastDemandAt.keySet().retainAll(guarantees.keySet());
        guarantees.forEach(
                (team, guarantee) -> {
                    TokenBucket bucket =
                            buckets.computeIfAbsent(team, key -> new TokenBucket(guarantee, now));
                    bucket.guarantee = guarantee;
                    bucket.refill(now);
                });
        guaranteedSum = sum;
    }

    private void refill(Duration now) {
        if (now.equals(refilledAt)) {
            return; // no time has passed, as between requests of one event loop round
        }
        idleBalance += Math.max(0, inSeconds(now.minus(refilledAt))) * (capacity - guaranteedSum);
        refilledAt = now;
        for (TokenBucket bucket : buckets.values()) {
            idleBalance += bucket.refill(now);
        }
        idleBalance = Math.min(idleBalance, capacity * MAX_IDLE_SECONDS);
    }

    /** Decides on a first attempt; the expected work includes reading it. Rejects unknown teams. */
    public BudgetDecision request(TeamId team, double work, Duration now) {
        refill(now);
        TokenBucket bucket = buckets.get(team);
        if (bucket == null) {
            return new BudgetDecision(BudgetDecision.Kind.REJECTED, MAX_BACKOFF);
        }
        if (bucket.canAfford(work)) {
            bucket.take(work);
            return new BudgetDecision(BudgetDecision.Kind.GUARANTEED, Duration.ZERO);
        }
        if (canUseIdle(team, bucket, work, now)) {
            idleBalance -= work;
            bucket.takeIdle(work);
            return new BudgetDecision(BudgetDecision.Kind.IDLE_CAPACITY, Duration.ZERO);
        }
        return reject(bucket, work);
    }

    /** Decides on a retry, which needs retry budget and is also charged like a first attempt. */
    public BudgetDecision requestRetry(TeamId team, double work, Duration now) {
        TokenBucket bucket = buckets.get(team);
        if (bucket == null || !bucket.canAffordRetry(work)) {
            refill(now);
            return bucket == null
                    ? new BudgetDecision(BudgetDecision.Kind.REJECTED, MAX_BACKOFF)
                    : reject(bucket, work);
        }
        BudgetDecision decision = request(team, work, now);
        if (decision.isGranted()) {
            // Also takes back the retry work that was just earned: a retry earns no retries.
            bucket.takeRetry(work * (1 + bucket.guarantee.retryRatio()));
        }
        return decision;
    }

    /**
     * Records that a team wants idle work, and returns whether it may use some. Teams get it in
     * proportion to their weights: one whose lead over another is too large has to wait.
     */
    private boolean canUseIdle(TeamId team, TokenBucket bucket, double work, Duration now) {
        if (bucket.guarantee.weight() == 0) {
            return false;
        }
        boolean isNewDemand =
                !lastDemandAt.containsKey(team)
                        || now.minus(lastDemandAt.get(team)).compareTo(DEMAND_WINDOW) > 0;
        lastDemandAt.put(team, now);
        lastDemandAt
                .values()
                .removeIf(lastDemand -> now.minus(lastDemand).compareTo(DEMAND_WINDOW) > 0);
        double leastIdlePerWeight = Double.POSITIVE_INFINITY;
        for (TeamId other : lastDemandAt.keySet()) {
            if (!other.equals(team)) {
                leastIdlePerWeight = Math.min(leastIdlePerWeight, buckets.get(other).idlePerWeight);
            }
        }
        // A team that returns starts level with the others: it is owed nothing for its absence.
        if (isNewDemand && leastIdlePerWeight < Double.POSITIVE_INFINITY) {
            bucket.idlePerWeight = Math.max(bucket.idlePerWeight, leastIdlePerWeight);
        }
        return idleBalance >= Math.min(work, capacity * MAX_IDLE_SECONDS)
                && bucket.idlePerWeight
                        <= leastIdlePerWeight
                                + capacity * MAX_LEAD_SECONDS / bucket.guarantee.weight();
    }

    private BudgetDecision reject(TokenBucket bucket, double work) {
        double seconds = bucket.secondsUntilAffordable(work);
        Duration backoff = seconds > inSeconds(MAX_BACKOFF) ? MAX_BACKOFF : ofSeconds(seconds);
        return new BudgetDecision(
                BudgetDecision.Kind.REJECTED,
                backoff.compareTo(MIN_BACKOFF) < 0 ? MIN_BACKOFF : backoff);
    }

    /** Charges or refunds the difference between actual and expected work of a finished run. */
    public void settle(TeamId team, double expected, double cost, Duration now) {
        TokenBucket bucket = buckets.get(team);
        if (bucket == null) {
            return;
        }
        refill(now);
        bucket.charge(cost - expected);
    }

    /** Returns the available guaranteed work of a team in core seconds; negative if in debt. */
    public double balance(TeamId team, Duration now) {
        refill(now);
        return buckets.containsKey(team) ? buckets.get(team).balance() : 0;
    }

    /** Returns the idle work available to all teams, in core seconds. */
    public double idleWork(Duration now) {
        refill(now);
        return idleBalance;
    }
}
