package ochretiller.fleet.membership;

import java.time.Duration;

/**
 * Timing of the membership protocol; all timeouts are multiples of the probe interval. All servers
 * of a fleet should use the same timing.
 *
 * <p>Sources: SWIM (Das, Gupta, Motivala 2002) for the protocol period and the logarithmic growth
 * of suspicion and dissemination; Lifeguard (Dadgar, Phillips, Currey 2017), "LHA-Suspicion", for
 * suspicion timeouts that shorten with each confirmation.
 *
 * @param probeInterval SWIM's protocol period, in which one member is probed
 * @param departedRetention how long departed members stay in the table
 * @param maxDeparted maximum number of departed members in the table
 * @param ticksPerProbe ticks of the protocol per probe interval
 * @param suspicionMultiplier shortest suspicion timeout in probe intervals, to be multiplied by the
 *     decimal logarithm of the fleet size
 */
public record ProtocolTiming(
        Duration probeInterval,
        Duration departedRetention,
        int maxDeparted,
        int ticksPerProbe,
        double suspicionMultiplier) {
    /**
     * The default timing. A probe interval of 100 ms is about a hundred round trips within a data
     * center, and ten probes per second detect a crash soon. Departed members are retained for 20
     * minutes, which is longer than most network partitions.
     */
    public static final ProtocolTiming DEFAULT =
            new ProtocolTiming(Duration.ofMillis(100), Duration.ofMinutes(20), 1_000);

    /** Maximum members, departed ones included, as updates of each are gossiped to all. */
    static final int MAX_MEMBERS = 3_000;

    /** Ratio of the timeout of an unconfirmed suspicion to the shortest timeout. */
    static final int MAX_SUSPICION_FACTOR = 3;

    /** Confirmations after the first accuser that reduce the timeout to the shortest. */
    static final int MAX_CONFIRMATIONS = 3;

    private static final int DEFAULT_TICKS_PER_PROBE = 3;

    /**
     * Together with the preceding probe timeout, long enough to tolerate a pause of one second; a
     * longer suspicion would delay the detection of each crash.
     */
    private static final double DEFAULT_SUSPICION_MULTIPLIER = 7.5;

    /** Delay before indirect probes are requested, in probe intervals. */
    private static final double INDIRECT_PROBE_DELAY_INTERVALS = 0.66;

    /** Probe timeout, in probe intervals. */
    private static final double PROBE_TIMEOUT_INTERVALS = 1.66;

    /** Smaller fleets use the timeout of this size, as pauses are as long in a small fleet. */
    private static final int MIN_SUSPICION_FLEET_SIZE = 24;

    /** Transmissions of each update, times the decimal logarithm of the fleet size. */
    private static final int RETRANSMIT_MULTIPLIER = 4;

    /** Creates a timing with default ticks and suspicion multiplier. */
    public ProtocolTiming(Duration probeInterval, Duration departedRetention, int maxDeparted) {
        this(
                probeInterval,
                departedRetention,
                maxDeparted,
                DEFAULT_TICKS_PER_PROBE,
                DEFAULT_SUSPICION_MULTIPLIER);
    }

    /** Time between two ticks of the protocol. */
    Duration tickInterval() {
        return probeInterval.dividedBy(ticksPerProbe);
    }

    /** Time after which an unanswered ping is repeated. */
    Duration pingRetryInterval() {
        return tickInterval();
    }

    /** Time after which indirect probes of a member that has not answered are requested. */
    Duration indirectProbeDelay() {
        return probeIntervals(INDIRECT_PROBE_DELAY_INTERVALS);
    }

    Duration probeTimeout() {
        return probeIntervals(PROBE_TIMEOUT_INTERVALS);
    }

    /** The shortest suspicion timeout in a fleet of this size. */
    Duration minSuspicionTimeout(int fleetSize) {
        int size = Math.max(MIN_SUSPICION_FLEET_SIZE, fleetSize);
        return probeIntervals(suspicionMultiplier * Math.log10(size + 1));
    }

    /**
     * How long a member stays suspect before it becomes unresponsive: from {@link
     * #MAX_SUSPICION_FACTOR} times the shortest timeout, with one accuser, down to the shortest.
     *
     * @param fleetSize live members, this server included
     * @param accusers the number of members whose probes it did not answer
     */
    Duration suspicionTimeout(int fleetSize, int accusers) {
        double shortest = minSuspicionTimeout(fleetSize).toNanos();
        int others = fleetSize - 2; // neither the suspect nor the first accuser
        int confirmationsNeeded = Math.min(MAX_CONFIRMATIONS, others);
        if (confirmationsNeeded < 1) {
            return Duration.ofNanos((long) shortest);
        }
        double confirmed = Math.min(1, Math.log(accusers) / Math.log(confirmationsNeeded + 1));
        double factor = MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * confirmed;
        return Duration.ofNanos((long) (shortest * factor));
    }

    /** The number of transmissions of each update in a fleet of this size. */
    int retransmitLimit(int fleetSize) {
        return RETRANSMIT_MULTIPLIER * (int) Math.ceil(Math.log10(fleetSize + 1));
    }

    /** A duration of this many probe intervals, which may be fractional. */
    Duration probeIntervals(double count) {
        return Duration.ofNanos((long) (probeInterval.toNanos() * count));
    }
}
