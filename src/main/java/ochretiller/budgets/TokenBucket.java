package ochretiller.budgets;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;

/** The token bucket of one team: its available work and retries, in core seconds. */
final class TokenBucket {
    GuaranteedRate guarantee;

    /** Available guaranteed work; negative after work that cost more than expected. */
    private double availableWork;

    private double availableRetryWork;
    private Duration refilledAt;

    /** Idle work granted, divided by the weight; the team with the least has precedence. */
    double idlePerWeight;

    TokenBucket(GuaranteedRate guarantee, Duration now) {
        this.guarantee = guarantee;
        this.availableWork = guarantee.burst();
        this.availableRetryWork = guarantee.retryBurst();
        this.refilledAt = now;
    }

    /** Adds the work for the elapsed time; returns the part over the burst, which is idle. */
    double refill(Duration now) {
        double elapsedSeconds = Math.max(0, inSeconds(now.minus(refilledAt)));
        refilledAt = now;
        double uncapped = availableWork + elapsedSeconds * guarantee.rate();
        availableWork = Math.min(uncapped, guarantee.burst());
        return uncapped - availableWork;
    }

    /**
     * Returns the balance that a request needs: work that costs more than the burst may start once
     * the balance reaches the burst.
     */
    private double requiredBalance(double work) {
        return Math.min(work, guarantee.burst());
    }

    boolean canAfford(double work) {
        return guarantee.rate() > 0 && availableWork >= requiredBalance(work);
    }

    void take(double work) {
        availableWork -= work;
        availableRetryWork =
                Math.min(
                        guarantee.retryBurst(), availableRetryWork + work * guarantee.retryRatio());
    }

    /** Takes idle work, which earns retries as guaranteed work does. */
    void takeIdle(double work) {
        idlePerWeight += work / guarantee.weight();
        availableRetryWork =
                Math.min(
                        guarantee.retryBurst(), availableRetryWork + work * guarantee.retryRatio());
    }

    boolean canAffordRetry(double work) {
        return availableRetryWork >= work;
    }

    void takeRetry(double work) {
        availableRetryWork -= work;
    }

    /** Charges the cost over the expected work; an overestimate is refunded, up to the burst. */
    void charge(double excess) {
        availableWork = Math.min(guarantee.burst(), availableWork - excess);
    }

    /** Returns the seconds until the work is affordable; infinity if the rate is 0. */
    double secondsUntilAffordable(double work) {
        return guarantee.rate() == 0
                ? Double.POSITIVE_INFINITY
                : Math.max(0, requiredBalance(work) - availableWork) / guarantee.rate();
    }

    double balance() {
        return availableWork;
    }
}
