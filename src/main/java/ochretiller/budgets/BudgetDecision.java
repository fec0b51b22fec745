package ochretiller.budgets;

import java.time.Duration;

/**
 * The decision on a request for work.
 *
 * @param kind whether the request is granted, and from which capacity
 * @param backoff how long to wait before a retry; zero if the request is granted
 */
public record BudgetDecision(Kind kind, Duration backoff) {
    /** Whether a request is granted, and from which capacity. */
    public enum Kind {
        /** Granted from the guaranteed rate of the team, which no other team can use up. */
        GUARANTEED,
        /** Granted from idle capacity, to which no team is entitled. */
        IDLE_CAPACITY,
        /** Rejected: the request is throttled before it runs. */
        REJECTED
    }

    /** Returns whether the work may be done. */
    public boolean isGranted() {
        return kind != Kind.REJECTED;
    }
}
