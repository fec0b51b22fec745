package ochretiller.fleet.versions;

/**
 * What became of the invocations that were read under one version, since it was acted on first.
 *
 * @param read all of them that have their answer
 * @param throttled turned away
 * @param errored failed, or their end unknown
 * @param late succeeded beyond their latency objective
 * @param value billed value of those that succeeded within it
 * @param offered billed value of all of them
 */
public record Counts(
        long read, long throttled, long errored, long late, double value, double offered) {
    public static final Counts NONE = new Counts(0, 0, 0, 0, 0, 0);

    /** Guards against a peer that tells what cannot be. */
    public Counts {
        boolean good =
                read >= 0
                        && throttled >= 0
                        && errored >= 0
                        && late >= 0
                        && throttled + errored + late <= read
                        && value >= 0
                        && offered >= value
                        && offered < 1e15;
        if (!good) {
            throw new IllegalArgumentException("no counts");
        }
    }

    public Counts plus(Counts more) {
        return new Counts(
                read + more.read,
                throttled + more.throttled,
                errored + more.errored,
                late + more.late,
                value + more.value,
                offered + more.offered);
    }

    /** What has come since; all of it where its server has begun anew meanwhile. */
    public Counts since(Counts before) {
        boolean anew =
                before.read > read
                        || before.throttled > throttled
                        || before.errored > errored
                        || before.late > late
                        || before.value > value
                        || before.offered > offered
                        || throttled
                                        - before.throttled
                                        + errored
                                        - before.errored
                                        + late
                                        - before.late
                                > read - before.read
                        || offered - before.offered < value - before.value;
        return anew
                ? this
                : new Counts(
                        read - before.read,
                        throttled - before.throttled,
                        errored - before.errored,
                        late - before.late,
                        value - before.value,
                        offered - before.offered);
    }
}
