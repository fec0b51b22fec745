package ochretiller.fleet.rollout;

/**
 * Outcomes of the invocations that a server has handled under a version since activating it.
 *
 * @param answered number of all answered invocations
 * @param throttled number of throttled invocations
 * @param errored number of invocations that failed or whose outcome is unknown
 * @param late number of invocations that succeeded but exceeded their latency objective
 * @param earnedValue billed value of invocations that succeeded within the objective
 * @param offeredValue billed value of all answered invocations
 */
public record VersionCounters(
        long answered,
        long throttled,
        long errored,
        long late,
        double earnedValue,
        double offeredValue) {
    /** The counters of no invocations. */
    public static final VersionCounters ZERO = new VersionCounters(0, 0, 0, 0, 0, 0);

    /** Limit of a reported value; below it, sums of many reports keep sufficient precision. */
    private static final double MAX_VALUE = 1e15;

    /**
     * @throws IllegalArgumentException if a peer's counters contradict each other
     */
    public VersionCounters {
        boolean areCountsValid =
                answered >= 0
                        && throttled >= 0
                        && errored >= 0
                        && late >= 0
                        && throttled + errored + late <= answered;
        boolean areValuesValid =
                earnedValue >= 0 && offeredValue >= earnedValue && offeredValue < MAX_VALUE;
        if (!areCountsValid || !areValuesValid) {
            throw new IllegalArgumentException(
                    "inconsistent counters: answered="
                            + answered
                            + " throttled="
                            + throttled
                            + " errored="
                            + errored
                            + " late="
                            + late
                            + " earnedValue="
                            + earnedValue
                            + " offeredValue="
                            + offeredValue);
        }
    }

    /** Returns the sum of these counters and others. */
    public VersionCounters plus(VersionCounters other) {
        return new VersionCounters(
                answered + other.answered,
                throttled + other.throttled,
                errored + other.errored,
                late + other.late,
                earnedValue + other.earnedValue,
                offeredValue + other.offeredValue);
    }

    /**
     * Returns the difference to earlier counters, or these counters if the server has restarted
     * since then.
     */
    public VersionCounters increaseSince(VersionCounters earlier) {
        if (!isContinuationOf(earlier)) {
            return this;
        }
        return new VersionCounters(
                answered - earlier.answered,
                throttled - earlier.throttled,
                errored - earlier.errored,
                late - earlier.late,
                earnedValue - earlier.earnedValue,
                offeredValue - earlier.offeredValue);
    }

    private boolean isContinuationOf(VersionCounters earlier) {
        boolean hasNoDecrease =
                earlier.answered <= answered
                        && earlier.throttled <= throttled
                        && earlier.errored <= errored
                        && earlier.late <= late
                        && earlier.earnedValue <= earnedValue
                        && earlier.offeredValue <= offeredValue;
        long unsuccessful =
                throttled - earlier.throttled + errored - earlier.errored + late - earlier.late;
        boolean isConsistent =
                unsuccessful <= answered - earlier.answered
                        && offeredValue - earlier.offeredValue >= earnedValue - earlier.earnedValue;
        return hasNoDecrease && isConsistent;
    }
}
