package ochretiller.fleet.rollout;

/**
 * What became of the invocations that were read under one version, since it was acted on first.
 *
 * @param answered all of them that have their answer
 * @param throttled turned away
 * @param errored failed, or their end unknown
 * @param late succeeded beyond their latency objective
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
    public static final VersionCounters ZERO = new VersionCounters(0, 0, 0, 0, 0, 0);

    /** Guards against a peer that tells what cannot be. */
    public VersionCounters {
        boolean good =
                answered >= 0
                        && throttled >= 0
                        && errored >= 0
                        && late >= 0
                        && throttled + errored + late <= answered
                        && earnedValue >= 0
                        && offeredValue >= earnedValue
                        && offeredValue < 1e15;
        if (!good) {
            throw new IllegalArgumentException("no counts");
        }
    }

    public VersionCounters plus(VersionCounters more) {
        return new VersionCounters(
                answered + more.answered,
                throttled + more.throttled,
                errored + more.errored,
                late + more.late,
                earnedValue + more.earnedValue,
                offeredValue + more.offeredValue);
    }

    /** What has come since; all of it where its server has begun anew meanwhile. */
    public VersionCounters since(VersionCounters before) {
        boolean anew =
                before.answered > answered
                        || before.throttled > throttled
                        || before.errored > errored
                        || before.late > late
                        || before.earnedValue > earnedValue
                        || before.offeredValue > offeredValue
                        || throttled
                                        - before.throttled
                                        + errored
                                        - before.errored
                                        + late
                                        - before.late
                                > answered - before.answered
                        || offeredValue - before.offeredValue < earnedValue - before.earnedValue;
        return anew
                ? this
                : new VersionCounters(
                        answered - before.answered,
                        throttled - before.throttled,
                        errored - before.errored,
                        late - before.late,
                        earnedValue - before.earnedValue,
                        offeredValue - before.offeredValue);
    }
}
