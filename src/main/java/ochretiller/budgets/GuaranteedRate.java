package ochretiller.budgets;

/**
 * The capacity that a team is guaranteed. Work is measured in core seconds.
 *
 * @param rate work per second that is always available to the team
 * @param burst maximum unused work of that rate that accumulates
 * @param weight weight of the team when teams compete for idle capacity; 0 excludes it
 * @param retryRatio work of retries allowed per work of first attempts
 * @param retryBurst maximum unused work of retries that accumulates
 */
public record GuaranteedRate(
        double rate, double burst, double weight, double retryRatio, double retryBurst) {
    public GuaranteedRate {
        if (!(rate >= 0 && burst >= 0 && weight >= 0 && retryRatio >= 0 && retryBurst >= 0)) {
            throw new IllegalArgumentException(
                    "each value of a guaranteed rate must be a number of at least 0");
        }
    }
}
