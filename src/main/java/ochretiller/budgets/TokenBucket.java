package ochretiller.budgets;

import static ochretiller.time.Durations.inSeconds;

import java.time.Duration;

/** What one team has in hand. */
final class TokenBucket {
    GuaranteedRate promise;

    /** Its own work in hand; under zero it owes for work that cost more than was expected. */
    private double own;

    private double retries;
    private Duration filledAt;

    /** Work lent to it, over its weight: who has least is next. */
    double lent;

    TokenBucket(GuaranteedRate promise, Duration now) {
        this.promise = promise;
        this.own = promise.burst();
        this.retries = promise.retryBurst();
        this.filledAt = now;
    }

    /** Adds what time has brought; tells what it cannot keep, which is idle. */
    double fill(Duration now) {
        double span = Math.max(0, inSeconds(now.minus(filledAt)));
        filledAt = now;
        double filled = own + span * promise.rate();
        own = Math.min(filled, promise.burst());
        return filled - own;
    }

    /**
     * The least that must be in hand for a wish: work dearer than the burst may start once the
     * burst is there.
     */
    private double needed(double work) {
        return Math.min(work, promise.burst());
    }

    boolean affords(double work) {
        return promise.rate() > 0 && own >= needed(work);
    }

    void takes(double work) {
        own -= work;
        retries = Math.min(promise.retryBurst(), retries + work * promise.retryShare());
    }

    /** Work that was lent counts as a first try too. */
    void takesLent(double work) {
        lent += work / promise.weight();
        retries = Math.min(promise.retryBurst(), retries + work * promise.retryShare());
    }

    boolean affordsRetry(double work) {
        return retries >= work;
    }

    void takesRetry(double work) {
        retries -= work;
    }

    /** What it cost beside what was expected; an overestimate comes back, not beyond the burst. */
    void settles(double more) {
        own = Math.min(promise.burst(), own - more);
    }

    /** Seconds until so much is in hand. */
    double wait(double work) {
        return promise.rate() == 0
                ? Double.POSITIVE_INFINITY
                : Math.max(0, needed(work) - own) / promise.rate();
    }

    double own() {
        return own;
    }
}
