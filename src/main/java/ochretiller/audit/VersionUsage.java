package ochretiller.audit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the outcomes of invocations under the active version, by period. A period ends when
 * another version is activated, or at its maximum length. Not thread-safe; confined to the event
 * loop. Callers pass the time.
 */
public final class VersionUsage {
    /** Name under which the operations beyond the maximum number are counted together. */
    static final String OTHER_OPERATIONS = "(others)";

    /** Maximum number of operations that are counted separately in one period. */
    private static final int MAX_OPERATIONS = 64;

    private final Duration maxPeriod;
    private final Map<String, InvocationCounts> countsByOperation = new HashMap<>();
    private Optional<PeriodStart> start = Optional.empty();
    private long version;
    private String versionHash = "";

    private record PeriodStart(long unixMillis, Duration monotonic) {}

    /**
     * Creates an instance without a period; {@link #startPeriod} starts the first.
     *
     * @param maxPeriod length at which {@link #closeIfDue} ends a period
     */
    public VersionUsage(Duration maxPeriod) {
        this.maxPeriod = maxPeriod;
    }

    /** Returns the number of the active version; 0 before the first. */
    public long version() {
        return version;
    }

    /** Starts a period at these times of the Unix clock and the monotonic clock. */
    public void startPeriod(long unixMillis, Duration now) {
        start = Optional.of(new PeriodStart(unixMillis, now));
    }

    /**
     * Activates another version and ends the period of the previous one.
     *
     * @return the ended period; empty before {@link #startPeriod}
     */
    public Optional<VersionPeriod> switchVersion(
            long nextVersion, String nextHash, long unixMillis, Duration now) {
        Optional<VersionPeriod> ended = start.map(ignored -> closePeriod(unixMillis, now));
        version = nextVersion;
        versionHash = nextHash;
        return ended;
    }

    /** Counts one outcome of an invocation. */
    public void count(String operation, InvocationOutcome outcome) {
        boolean isCountedSeparately =
                countsByOperation.containsKey(operation)
                        || countsByOperation.size() < MAX_OPERATIONS;
        String name = isCountedSeparately ? operation : OTHER_OPERATIONS;
        countsByOperation.merge(
                name,
                InvocationCounts.NONE.plusOne(outcome),
                (counted, ignored) -> counted.plusOne(outcome));
    }

    /** Ends the period if it has reached the maximum length; the next one starts at this time. */
    public Optional<VersionPeriod> closeIfDue(long unixMillis, Duration now) {
        return start.filter(started -> now.minus(started.monotonic()).compareTo(maxPeriod) >= 0)
                .map(ignored -> closePeriod(unixMillis, now));
    }

    /**
     * Ends the period; the next one starts at this time.
     *
     * @throws java.util.NoSuchElementException before {@link #startPeriod}
     */
    public VersionPeriod closePeriod(long unixMillis, Duration now) {
        PeriodStart started = start.orElseThrow();
        long monotonicMillis = Math.max(0, now.minus(started.monotonic()).toMillis());
        VersionPeriod period =
                new VersionPeriod(
                        version,
                        versionHash,
                        started.unixMillis(),
                        unixMillis,
                        monotonicMillis,
                        Map.copyOf(countsByOperation));
        countsByOperation.clear();
        startPeriod(unixMillis, now);
        return period;
    }
}
