package ochretiller.fleet.membership;

import java.time.Duration;

/**
 * How fast a fleet asks; all spans follow the first.
 *
 * @param probeInterval one member is asked each such span
 * @param departedRetention how long members that are gone are remembered
 * @param maxDeparted members that are gone and remembered, at most
 * @param ticksPerProbe how often in a probe's span the clock is looked at
 * @param suspicionMultiplier shortest suspicion in probes, times the logarithm of the size
 */
public record ProtocolTiming(
        Duration probeInterval,
        Duration departedRetention,
        int maxDeparted,
        int ticksPerProbe,
        double suspicionMultiplier) {
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
    public static final ProtocolTiming DEFAULT =
            new ProtocolTiming(Duration.ofMillis(100), Duration.ofMinutes(20), 1_000);

    public ProtocolTiming(Duration probe, Duration forget, int mostGone) {
        this(probe, forget, mostGone, TICKS, SUSPECTS);
    }

    /** Members, those that are gone among them: what is said of each goes through all. */
    static final int MAX_MEMBERS = 3_000;

    /** Of the probe's span: from when others are asked to ask, and from when a probe has failed. */
    private static final double ASKS = 0.66;

    private static final double FAILS = 1.66;

    /** Size from which suspicion grows: in a small fleet a pause is as long as in a large one. */
    private static final int SMALL = 24;

    /** A suspicion that nobody confirms lasts as many times longer. */
    static final int MAX_SUSPICION_FACTOR = 3;

    /** Further accusers that make a suspicion shortest. */
    static final int MAX_CONFIRMATIONS = 3;

    /** Times that news of one member is carried, times the logarithm of the size. */
    private static final int CARRIED = 4;

    Duration tickInterval() {
        return probeInterval.dividedBy(ticksPerProbe);
    }

    Duration indirectProbeDelay() {
        return probeIntervals(ASKS);
    }

    Duration probeTimeout() {
        return probeIntervals(FAILS);
    }

    /** A ping that is not answered is said again after so long. */
    Duration pingRetryInterval() {
        return tickInterval();
    }

    Duration minSuspicionTimeout(int size) {
        return probeIntervals(suspicionMultiplier * Math.log10(Math.max(SMALL, size) + 1));
    }

    /**
     * How long a member is suspect before it counts as silent.
     *
     * @param size of the fleet, this server among it
     * @param accusers that it did not answer
     */
    Duration suspicionTimeout(int size, int accusers) {
        double least = minSuspicionTimeout(size).toNanos();
        int needed = Math.min(MAX_CONFIRMATIONS, size - 2); // further ones, beside the first
        if (needed < 1) {
            return Duration.ofNanos((long) least);
        }
        double share = Math.min(1, Math.log(accusers) / Math.log(needed + 1));
        return Duration.ofNanos(
                (long) (least * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * share)));
    }

    int retransmitLimit(int size) {
        return CARRIED * (int) Math.ceil(Math.log10(size + 1));
    }

    Duration probeIntervals(double factor) {
        return Duration.ofNanos((long) (probeInterval.toNanos() * factor));
    }
}
