package ochretiller.emulator.experiment;

import java.util.List;
import java.util.Locale;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * A mean with its 95 % confidence interval, by Student's t distribution.
 *
 * @param mean NaN if there are no values
 * @param halfWidth half of the interval's width; infinite for fewer than two values
 */
public record ConfidenceInterval(double mean, double halfWidth, long count) {
    private static final double CONFIDENCE = 0.95;

    /** Computes the interval of the mean of independent values. */
    public static ConfidenceInterval of(List<Double> values) {
        SummaryStatistics statistics = new SummaryStatistics();
        values.forEach(statistics::addValue);
        long n = statistics.getN();
        if (n < 2) {
            return new ConfidenceInterval(
                    n == 0 ? Double.NaN : statistics.getMean(), Double.POSITIVE_INFINITY, n);
        }
        double t = new TDistribution(n - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2);
        return new ConfidenceInterval(
                statistics.getMean(), t * statistics.getStandardDeviation() / Math.sqrt(n), n);
    }

    /**
     * Returns the two-sided p-value of a paired t-test: the probability of a mean at least this far
     * from zero if the true mean difference is zero. It is 1 for fewer than two values.
     */
    public static double pValue(List<Double> differences) {
        SummaryStatistics statistics = new SummaryStatistics();
        differences.forEach(statistics::addValue);
        long n = statistics.getN();
        if (n < 2) {
            return 1;
        }
        if (statistics.getStandardDeviation() == 0) {
            return statistics.getMean() == 0 ? 1 : 0;
        }
        double t = statistics.getMean() / (statistics.getStandardDeviation() / Math.sqrt(n));
        return 2 * new TDistribution(n - 1).cumulativeProbability(-Math.abs(t));
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.4f ± %.4f (%d)", mean, halfWidth, count);
    }
}
