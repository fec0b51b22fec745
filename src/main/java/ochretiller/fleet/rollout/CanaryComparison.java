package ochretiller.fleet.rollout;

import java.util.Optional;

/**
 * Whether those that act on a new version do worse than those that do not yet. It may be looked at
 * as often as one likes: for shares that do not differ the chance that it ever says so is bounded
 * (a mixture sequential probability ratio test; Robbins 1970, Johari and others 2022, "Always valid
 * inference").
 */
public final class CanaryComparison {
    /** Chance of ever halting a version that does no harm, over all figures together. */
    public static final double FALSE_ALARM_PROBABILITY = 0.01;

    private static final int FIGURES = 4;

    /** Difference of shares that is looked for first of all: the mixture's spread. */
    private static final double LOOKED_FOR = 0.2;

    /** A difference that is less is none to act on. */
    private static final double LEAST = 0.01;

    /** Answers on either side that are too few for a share. */
    private static final long FEWEST = 30;

    /**
     * Invocations of one moment share their fate, in bursts: each counts as so much of an
     * independent one. Measured on servers that differ in nothing.
     */
    private static final double ALONE = 0.2;

    private CanaryComparison() {}

    /** What is worse with the new version, with both shares; empty where nothing is known to be. */
    public static Optional<String> findRegression(
            VersionCounters changed, VersionCounters unchanged) {
        if (changed.answered() < FEWEST || unchanged.answered() < FEWEST) {
            return Optional.empty();
        }
        if (findRegression(
                changed.throttled(),
                changed.answered(),
                unchanged.throttled(),
                unchanged.answered())) {
            return told(
                    "throttled",
                    changed.throttled(),
                    changed.answered(),
                    unchanged.throttled(),
                    unchanged.answered());
        }
        if (findRegression(
                changed.errored(), changed.answered(), unchanged.errored(), unchanged.answered())) {
            return told(
                    "errored",
                    changed.errored(),
                    changed.answered(),
                    unchanged.errored(),
                    unchanged.answered());
        }
        if (findRegression(
                changed.late(), changed.answered(), unchanged.late(), unchanged.answered())) {
            return told(
                    "late",
                    changed.late(),
                    changed.answered(),
                    unchanged.late(),
                    unchanged.answered());
        }
        double lostHere = lost(changed);
        double lostThere = lost(unchanged);
        if (findRegression(
                lostHere * changed.answered(),
                changed.answered(),
                lostThere * unchanged.answered(),
                unchanged.answered())) {
            return told(
                    "lost of the billed value",
                    lostHere * changed.answered(),
                    changed.answered(),
                    lostThere * unchanged.answered(),
                    unchanged.answered());
        }
        return Optional.empty();
    }

    private static double lost(VersionCounters counts) {
        return counts.offeredValue() <= 0 ? 0 : 1 - counts.earnedValue() / counts.offeredValue();
    }

    private static Optional<String> told(
            String what, double bad, double all, double otherBad, double otherAll) {
        return Optional.of(
                String.format(
                        java.util.Locale.ROOT,
                        "%s %.4f of %.0f, not %.4f of %.0f",
                        what,
                        bad / all,
                        all,
                        otherBad / otherAll,
                        otherAll));
    }

    private static boolean findRegression(
            double bad, double all, double otherBad, double otherAll) {
        double difference = bad / all - otherBad / otherAll;
        if (difference < LEAST) {
            return false;
        }
        // One more of each kind: a share of none has a spread, too.
        double share = (bad + otherBad + 1) / (all + otherAll + 2);
        double spread = share * (1 - share) * (1 / (all * ALONE) + 1 / (otherAll * ALONE));
        double mixed = LOOKED_FOR * LOOKED_FOR;
        double log =
                0.5 * Math.log(spread / (spread + mixed))
                        + difference * difference * mixed / (2 * spread * (spread + mixed));
        return log > Math.log(FIGURES / FALSE_ALARM_PROBABILITY);
    }
}
