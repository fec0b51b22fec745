package ochretiller.budgets;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;

/** The token bucket of one team: its available work and retries, in core seconds. */
final class TokenBucket {
    GuaranteedRate promise;

    /** Available guaranteed work; negative after work that cost more than expected. */
    private double availableWork;

    private double availableRetryWork;
    private Duration refilledAt;

    /** Idle work granted, divided by the weight; the team with the least has precedence. */
    double lent;

    TokenBucket(GuaranteedRate guarantee, Duration now) {
        this.promise = guarantee;
        this.availableWork = guarantee.burst();
        this.availableRetryWork = guarantee.retryBurst();
        this.refilledAt = now;
    }

    /** Adds the work for the elapsed time; returns the part over the burst, which is idle. */
    double fill(Duration now) {
        double elapsedSeconds = Math.max(0, inSeconds(now.minus(refilledAt)));
        refilledAt = now;
        double uncapped = availableWork + elapsedSeconds * promise.rate();
        availableWork = Math.min(uncapped, promise.burst());
        return uncapped - availableWork;
    }

    /**
     * Returns the balance that a request needs: work that costs more than the burst may start once
     * the balance reaches the burst.
     */
    private double requiredBalance(double work) {
        return Math.min(work, promise.burst());
    }

    boolean affords(double work) {
        return promise.rate() > 0 && availableWork >= requiredBalance(work);
    }

    void takes(double work) {
        availableWork -= work;
        availableRetryWork =
                Math.min(
                        promise.retryBurst(), availableRetryWork + work * promise.retryShare());
    }

    /** Takes idle work, which earns retries as guaranteed work does. */
    void takesLent(double work) {
        lent += work / promise.weight();
        availableRetryWork =
                Math.min(
                        promise.retryBurst(), availableRetryWork + work * promise.retryShare());
    }

    boolean affordsRetry(double work) {
        return availableRetryWork >= work;
    }

    void takesRetry(double work) {
        availableRetryWork -= work;
    }

    /** Charges the cost over the expected work; an overestimate is refunded, up to the burst. */
    void settles(double excess) {
        availableWork = Math.min(promise.burst(), availableWork - excess);
    }

    /** Returns the seconds until the work is affordable; infinity if the rate is 0. */
    double wait(double work) {
        return promise.rate() == 0
                ? Double.POSITIVE_INFINITY
                : Math.max(0, requiredBalance(work) - availableWork) / promise.rate();
    }

    double own() {
        return availableWork;
    }
}
