package ochretiller.fleet.rollout;

import java.util.Locale;

/**
 * A share of invocations that is higher under the candidate version than under the baseline.
 *
 * @param metric what the share is of, as operators read it
 * @param candidate the share under the version that is rolled out
 * @param baseline the share under the version before
 */
record Regression(String metric, Share candidate, Share baseline) {
    /**
     * A part of all invocations.
     *
     * @param part the part, perhaps weighted by value
     * @param total all of them
     */
    record Share(double part, double total) {
        double ratio() {
            return part / total;
        }
    }

    /** Returns one line for operators. */
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
