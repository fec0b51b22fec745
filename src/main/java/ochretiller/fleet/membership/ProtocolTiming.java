package ochretiller.fleet.membership;

import java.time.Duration;

/**
 * How fast members probe one another; all waits follow from the probe interval. All servers of a
 * fleet should have the same.
 *
 * <p>Sources: SWIM (Das, Gupta, Motivala 2002) for the protocol period and the logarithmic growth
 * of suspicion and dissemination; Lifeguard (Dadgar, Phillips, Currey 2017), "LHA-Suspicion", for
 * suspicions that shorten with each confirmation.
 *
 * @param probeInterval SWIM's protocol period: one member is probed in each
 * @param departedRetention how long departed members are remembered
 * @param maxDeparted departed members that are remembered at most
 * @param ticksPerProbe how often the clock is looked at in a probe interval
 * @param suspicionMultiplier shortest suspicion in probe intervals, times the logarithm of the size
 */
public record ProtocolTiming(
        Duration probeInterval,
        Duration departedRetention,
        int maxDeparted,
        int ticksPerProbe,
        double suspicionMultiplier) {
    /**
     * The usual timing. 100 ms is some hundred round trips within a machine room, and ten probes a
     * second find each death soon; 20 minutes outlast most network partitions.
     */
    public static final ProtocolTiming DEFAULT =
            new ProtocolTiming(Duration.ofMillis(100), Duration.ofMinutes(20), 1_000);

    /** Members, departed ones included: what is said of each goes through all. */
    static final int MAX_MEMBERS = 3_000;

    /** How many times longer a suspicion lasts that nobody confirms. */
    static final int MAX_SUSPICION_FACTOR = 3;

    /** Confirmations, beside the first accuser, that make a suspicion shortest. */
    static final int MAX_CONFIRMATIONS = 3;

    private static final int DEFAULT_TICKS_PER_PROBE = 3;

    /**
     * With the probe before it, long enough to ride out a pause of a second; a longer suspicion
     * makes each death known later.
     */
    private static final double DEFAULT_SUSPICION_MULTIPLIER = 7.5;

    /** Part of the probe interval after which others are asked to probe. */
    private static final double INDIRECT_PROBE_DELAY = 0.66;

    /** Probe intervals after which a probe has failed. */
    private static final double PROBE_TIMEOUT = 1.66;

    /** Smaller fleets suspect as long as one of this size: a pause is as long in any. */
    private static final int MIN_SUSPICION_SIZE = 24;

    /** Times that an update is sent, times the logarithm of the size. */
    private static final int RETRANSMIT_MULTIPLIER = 4;

    /** The usual timing but for the parameters. */
    public ProtocolTiming(Duration probeInterval, Duration departedRetention, int maxDeparted) {
        this(
                probeInterval,
                departedRetention,
                maxDeparted,
                DEFAULT_TICKS_PER_PROBE,
                DEFAULT_SUSPICION_MULTIPLIER);
    }

    /** Time between two looks at the clock. */
    Duration tickInterval() {
        return probeInterval.dividedBy(ticksPerProbe);
    }

    /** Time after which an unanswered ping is repeated. */
    Duration pingRetryInterval() {
        return tickInterval();
    }

    /** Time after which others are asked to probe a member that has not answered. */
    Duration indirectProbeDelay() {
        return probeIntervals(INDIRECT_PROBE_DELAY);
    }

    /** Time after which a probe has failed. */
    Duration probeTimeout() {
        return probeIntervals(PROBE_TIMEOUT);
    }

    /** How long a suspicion lasts at least, in a fleet of this size. */
    Duration minSuspicionTimeout(int fleetSize) {
        int size = Math.max(MIN_SUSPICION_SIZE, fleetSize);
        return probeIntervals(suspicionMultiplier * Math.log10(size + 1));
    }

    /**
     * How long a member stays suspect before it counts as unresponsive: from {@link
     * #MAX_SUSPICION_FACTOR} times the shortest, with one accuser, down to the shortest.
     *
     * @param fleetSize this server included
     * @param accusers members that it did not answer
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

    /** How often each update is sent, in a fleet of this size. */
    int retransmitLimit(int fleetSize) {
        return RETRANSMIT_MULTIPLIER * (int) Math.ceil(Math.log10(fleetSize + 1));
    }

    /** A number of probe intervals, also in parts. */
    Duration probeIntervals(double count) {
        return Duration.ofNanos((long) (probeInterval.toNanos() * count));
    }
}
