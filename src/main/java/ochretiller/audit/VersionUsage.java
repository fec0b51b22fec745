package ochretiller.audit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts what becomes of invocations under the version that is acted on. A period ends with its
 * version, and after a while in any case. Not safe for several threads; owned by the event loop.
 * Time is handed in.
 */
public final class VersionUsage {
    /** Counts together all operations over the bound of those that are told apart. */
    static final String OTHER_OPERATIONS = "(others)";

    /** Most operations that are told apart in one period. */
    private static final int MAX_OPERATIONS = 64;

    private final Duration maxPeriod;
    private final Map<String, InvocationCounts> countsByOperation = new HashMap<>();
    private Optional<PeriodStart> start = Optional.empty();
    private long version;
    private String versionHash = "";

    private record PeriodStart(long unixMillis, Duration monotonic) {}

    /**
     * Counts nothing in particular before {@link #startPeriod}.
     *
     * @param maxPeriod age at which {@link #closeIfDue} ends a period
     */
    public VersionUsage(Duration maxPeriod) {
        this.maxPeriod = maxPeriod;
    }

    /** The version that is acted on; 0 before the first. */
    public long version() {
        return version;
    }

    /** Begins to count. */
    public void startPeriod(long unixMillis, Duration now) {
        start = Optional.of(new PeriodStart(unixMillis, now));
    }

    /**
     * From now on another version is acted on.
     *
     * @return the period of the version before; empty before the first period
     */
    public Optional<VersionPeriod> switchVersion(
            long nextVersion, String nextHash, long unixMillis, Duration now) {
        Optional<VersionPeriod> ended = start.map(each -> closePeriod(unixMillis, now));
        version = nextVersion;
        versionHash = nextHash;
        return ended;
    }

    /** Counts one invocation. */
    public void count(String operation, InvocationOutcome outcome) {
        boolean isToldApart =
                countsByOperation.containsKey(operation)
                        || countsByOperation.size() < MAX_OPERATIONS;
        String name = isToldApart ? operation : OTHER_OPERATIONS;
        countsByOperation.merge(
                name,
                InvocationCounts.NONE.plusOne(outcome),
                (counted, ignored) -> counted.plusOne(outcome));
    }

    /** Ends the period where it has lasted long enough; the next begins here. */
    public Optional<VersionPeriod> closeIfDue(long unixMillis, Duration now) {
        return start.filter(each -> now.minus(each.monotonic()).compareTo(maxPeriod) >= 0)
                .map(each -> closePeriod(unixMillis, now));
    }

    /**
     * Ends the period; the next begins here.
     *
     * @throws java.util.NoSuchElementException before {@link #startPeriod}
     */
    public VersionPeriod closePeriod(long unixMillis, Duration now) {
        PeriodStart ended = start.orElseThrow();
        long monotonicMillis = Math.max(0, now.minus(ended.monotonic()).toMillis());
        VersionPeriod period =
                new VersionPeriod(
                        version,
                        versionHash,
                        ended.unixMillis(),
                        unixMillis,
                        monotonicMillis,
                        Map.copyOf(countsByOperation));
        countsByOperation.clear();
        startPeriod(unixMillis, now);
        return period;
    }
}
