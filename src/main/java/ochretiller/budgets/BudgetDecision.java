package ochretiller.budgets;

import java.time.Duration;

/**
 * What becomes of a wish.
 *
 * @param kind whose work it uses
 * @param backoff when to come back, for one that is refused; zero for others
 */
public record BudgetDecision(Kind kind, Duration backoff) {
    /** Whose work is used. */
    public enum Kind {
        /** The team's own, which nobody can take from it. */
        PROMISED,
        /** What is idle: there is no claim on it. */
        LENT,
        /** Nobody's: it is throttled before it runs. */
        REFUSED
    }

    public boolean given() {
        return kind != Kind.REFUSED;
    }
}
