package ochretiller.fleet.rollout;

import java.util.Locale;

/**
 * A share of invocations that is higher under the candidate version than under the baseline.
 *
 * @param metric name of the metric as shown to operators
 * @param candidate the share under the version that is being rolled out
 * @param baseline the share under the previous version
 */
record Regression(String metric, Share candidate, Share baseline) {
    /**
     * A share of all invocations.
     *
     * @param count number of counted invocations, possibly weighted by billed value
     * @param total number of all invocations
     */
    record Share(double count, double total) {
        double ratio() {
            return count / total;
        }
    }

    /** Returns a one-line description for operators. */
    String describe() {
        return String.format(
                Locale.ROOT,
                "%s %.4f of %.0f, not %.4f of %.0f",
                metric,
                candidate.ratio(),
                candidate.total,
                baseline.ratio(),
                baseline.total);
    }
}
