package ochretiller.fleet.members;

import java.time.Duration;

/**
 * How fast a fleet asks; all spans follow the first.
 *
 * @param probe one member is asked each such span
 * @param forget how long members that are gone are remembered
 * @param mostGone members that are gone and remembered, at most
 * @param ticks how often in a probe's span the clock is looked at
 * @param suspects shortest suspicion in probes, times the logarithm of the size
 */
public record Pace(Duration probe, Duration forget, int mostGone, int ticks, double suspects) {
    /** Of the probe's span: how often the clock is looked at. */
    private static final int TICKS = 3;

    /**
     * With the probe before it, long enough to ride out a pause of a second; a longer one makes
     * each death known later.
     */
    private static final double SUSPECTS = 7.5;

    /**
     * 100 ms is some hundred round trips of a machine room, and ten questions a second find each
     * death soon; 20 min is longer than most cuts.
     */
    public static final Pace USUAL =
            new Pace(Duration.ofMillis(100), Duration.ofMinutes(20), 1_000);

    public Pace(Duration probe, Duration forget, int mostGone) {
        this(probe, forget, mostGone, TICKS, SUSPECTS);
    }

    /** Members, those that are gone among them: what is said of each goes through all. */
    static final int MOST = 3_000;

    /** Of the probe's span: from when others are asked to ask, and from when a probe has failed. */
    private static final double ASKS = 0.66;

    private static final double FAILS = 1.66;

    /** Size from which suspicion grows: in a small fleet a pause is as long as in a large one. */
    private static final int SMALL = 24;

    /** A suspicion that nobody confirms lasts as many times longer. */
    static final int ALONE = 3;

    /** Further accusers that make a suspicion shortest. */
    static final int ACCUSERS = 3;

    /** Times that news of one member is carried, times the logarithm of the size. */
    private static final int CARRIED = 4;

    Duration tick() {
        return probe.dividedBy(ticks);
    }

    Duration asksAfter() {
        return times(ASKS);
    }

    Duration failsAfter() {
        return times(FAILS);
    }

    /** A ping that is not answered is said again after so long. */
    Duration again() {
        return tick();
    }

    Duration shortest(int size) {
        return times(suspects * Math.log10(Math.max(SMALL, size) + 1));
    }

    /**
     * How long a member is suspect before it counts as silent.
     *
     * @param size of the fleet, this server among it
     * @param accusers that it did not answer
     */
    Duration suspicion(int size, int accusers) {
        double least = shortest(size).toNanos();
        int needed = Math.min(ACCUSERS, size - 2); // further ones, beside the first
        if (needed < 1) {
            return Duration.ofNanos((long) least);
        }
        double share = Math.min(1, Math.log(accusers) / Math.log(needed + 1));
        return Duration.ofNanos((long) (least * (ALONE - (ALONE - 1) * share)));
    }

    int carried(int size) {
        return CARRIED * (int) Math.ceil(Math.log10(size + 1));
    }

    Duration times(double factor) {
        return Duration.ofNanos((long) (probe.toNanos() * factor));
    }
}
