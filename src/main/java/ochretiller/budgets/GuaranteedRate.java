package ochretiller.budgets;

/**
 * What a team is promised. Work is core seconds.
 *
 * @param rate work a second that is always there for it
 * @param burst work that it may save up of that
 * @param weight its part of what is idle, among those that want it
 * @param retryShare work of further tries for each of first ones
 * @param retryBurst work of further tries that may be saved up
 */
public record GuaranteedRate(
        double rate, double burst, double weight, double retryShare, double retryBurst) {
    public GuaranteedRate {
        if (!(rate >= 0 && burst >= 0 && weight >= 0 && retryShare >= 0 && retryBurst >= 0)) {
            throw new IllegalArgumentException("no promise: a part of it is negative or no number");
        }
    }
}
