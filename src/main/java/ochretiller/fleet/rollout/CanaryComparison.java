package ochretiller.fleet.rollout;

import java.util.List;
import java.util.Optional;
import ochretiller.fleet.rollout.Regression.Share;

/**
 * Canary analysis: compares invocations under a candidate version with those under the baseline.
 * The test is a mixture sequential probability ratio test (Robbins 1970; Johari, Koomen, Pekelis
 * and Walsh 2022, "Always Valid Inference"). It may therefore be evaluated at every report: if the
 * shares do not differ, the probability that it ever reports a regression is bounded.
 *
 * <p>The test departs from the papers in one point: invocations fail in bursts rather than
 * independently, so each counts as a fifth of an independent one. Stateless.
 */
final class CanaryComparison {
    /** Bound on the probability of ever stopping a harmless version, for all metrics together. */
    static final double FALSE_ALARM_PROBABILITY = 0.01;

    private static final int METRIC_COUNT = 4;

    /** Standard deviation of the mixture: the difference to which the test is most sensitive. */
    private static final double MIXTURE_DEVIATION = 0.2;

    /** Minimum difference between the shares that counts as a regression. */
    private static final double MIN_DIFFERENCE = 0.01;

    /** Minimum number of answers on each side for a comparison. */
    private static final long MIN_ANSWERS = 30;

    /** Number of independent invocations that one counts for, since failures come in bursts. */
    private static final double EFFECTIVE_SAMPLE_SHARE = 0.2;

    private CanaryComparison() {}

    /** Returns the first metric that is significantly worse under the candidate, if any. */
    static Optional<Regression> findRegression(
            VersionCounters candidate, VersionCounters baseline) {
        if (candidate.answered() < MIN_ANSWERS || baseline.answered() < MIN_ANSWERS) {
            return Optional.empty();
        }
        List<Regression> metrics =
                List.of(
                        compare(
                                "throttled",
                                candidate.throttled(),
                                candidate,
                                baseline.throttled(),
                                baseline),
                        compare(
                                "errored",
                                candidate.errored(),
                                candidate,
                                baseline.errored(),
                                baseline),
                        compare("late", candidate.late(), candidate, baseline.late(), baseline),
                        compare(
                                "lost of the billed value",
                                lostValue(candidate),
                                candidate,
                                lostValue(baseline),
                                baseline));
        return metrics.stream().filter(CanaryComparison::isSignificant).findFirst();
    }

    private static Regression compare(
            String metric,
            double candidateCount,
            VersionCounters candidate,
            double baselineCount,
            VersionCounters baseline) {
        return new Regression(
                metric,
                new Share(candidateCount, candidate.answered()),
                new Share(baselineCount, baseline.answered()));
    }

    /** Returns the lost share of the billed value, scaled to a number of invocations. */
    private static double lostValue(VersionCounters counters) {
        if (counters.offeredValue() <= 0) {
            return 0;
        }
        return (1 - counters.earnedValue() / counters.offeredValue()) * counters.answered();
    }

    private static boolean isSignificant(Regression regression) {
        Share candidate = regression.candidate();
        Share baseline = regression.baseline();
        double difference = candidate.ratio() - baseline.ratio();
        if (difference < MIN_DIFFERENCE) {
            return false;
        }
        // Laplace smoothing adds one invocation of each kind, so that the variance is never zero.
        double pooled =
                (candidate.count() + baseline.count() + 1)
                        / (candidate.total() + baseline.total() + 2);
        double variance =
                pooled
                        * (1 - pooled)
                        * (1 / (candidate.total() * EFFECTIVE_SAMPLE_SHARE)
                                + 1 / (baseline.total() * EFFECTIVE_SAMPLE_SHARE));
        double mixtureVariance = MIXTURE_DEVIATION * MIXTURE_DEVIATION;
        double logLikelihoodRatio =
                0.5 * Math.log(variance / (variance + mixtureVariance))
                        + difference
                                * difference
                                * mixtureVariance
                                / (2 * variance * (variance + mixtureVariance));
        return logLikelihoodRatio > Math.log(METRIC_COUNT / FALSE_ALARM_PROBABILITY);
    }
}
