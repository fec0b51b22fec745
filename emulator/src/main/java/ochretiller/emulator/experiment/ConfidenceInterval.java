package ochretiller.emulator.experiment;

import java.util.List;
import java.util.Locale;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * A mean with its confidence interval, by Student's t.
 *
 * @param half half of the interval's width; infinite for fewer than two values
 */
public record ConfidenceInterval(double mean, double half, long count) {
    private static final double CONFIDENCE = 0.95;

    public static ConfidenceInterval of(List<Double> values) {
        SummaryStatistics sums = new SummaryStatistics();
        values.forEach(sums::addValue);
        long n = sums.getN();
        if (n < 2) {
            return new ConfidenceInterval(
                    n == 0 ? Double.NaN : sums.getMean(), Double.POSITIVE_INFINITY, n);
        }
        double t = new TDistribution(n - 1).inverseCumulativeProbability(1 - (1 - CONFIDENCE) / 2);
        return new ConfidenceInterval(
                sums.getMean(), t * sums.getStandardDeviation() / Math.sqrt(n), n);
    }

    /**
     * Chance of so large a mean of paired differences, or a larger one, where there is none;
     * two-sided.
     */
    public static double chance(List<Double> differences) {
        SummaryStatistics sums = new SummaryStatistics();
        differences.forEach(sums::addValue);
        long n = sums.getN();
        if (n < 2) {
            return 1;
        }
        if (sums.getStandardDeviation() == 0) {
            return sums.getMean() == 0 ? 1 : 0;
        }
        double t = sums.getMean() / (sums.getStandardDeviation() / Math.sqrt(n));
        return 2 * new TDistribution(n - 1).cumulativeProbability(-Math.abs(t));
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.4f ± %.4f (%d)", mean, half, count);
    }
}
