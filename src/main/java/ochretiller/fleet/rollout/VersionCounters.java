package ochretiller.fleet.rollout;

/**
 * What became of the invocations that were handled under one version, since a server activated it.
 *
 * @param answered all invocations that have their answer
 * @param throttled those that were throttled
 * @param errored those that failed, or whose outcome is not known
 * @param late those that succeeded beyond their latency objective
 * @param earnedValue billed value of those that succeeded within it
 * @param offeredValue billed value of all of them
 */
public record VersionCounters(
        long answered,
        long throttled,
        long errored,
        long late,
        double earnedValue,
        double offeredValue) {
    /** No invocations. */
    public static final VersionCounters ZERO = new VersionCounters(0, 0, 0, 0, 0, 0);

    /** Largest value that a peer may report; sums of many reports stay exact enough below it. */
    private static final double MAX_VALUE = 1e15;

    /**
     * @throws IllegalArgumentException where a peer reports what cannot be
     */
    public VersionCounters {
        boolean countsValid =
                answered >= 0
                        && throttled >= 0
                        && errored >= 0
                        && late >= 0
                        && throttled + errored + late <= answered;
        boolean valuesValid =
                earnedValue >= 0 && offeredValue >= earnedValue && offeredValue < MAX_VALUE;
        if (!countsValid || !valuesValid) {
            throw new IllegalArgumentException(
                    "impossible counters: answered="
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

    /** Returns the sum of both. */
    public VersionCounters plus(VersionCounters more) {
        return new VersionCounters(
                answered + more.answered,
                throttled + more.throttled,
                errored + more.errored,
                late + more.late,
                earnedValue + more.earnedValue,
                offeredValue + more.offeredValue);
    }

    /**
     * Returns what was counted since the earlier counters; all of it where the server has restarted
     * meanwhile.
     */
    public VersionCounters since(VersionCounters earlier) {
        if (!continues(earlier)) {
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

    private boolean continues(VersionCounters earlier) {
        boolean grown =
                earlier.answered <= answered
                        && earlier.throttled <= throttled
                        && earlier.errored <= errored
                        && earlier.late <= late
                        && earlier.earnedValue <= earnedValue
                        && earlier.offeredValue <= offeredValue;
        long unsuccessful =
                throttled - earlier.throttled + errored - earlier.errored + late - earlier.late;
        boolean consistent =
                unsuccessful <= answered - earlier.answered
                        && offeredValue - earlier.offeredValue >= earnedValue - earlier.earnedValue;
        return grown && consistent;
    }
}
