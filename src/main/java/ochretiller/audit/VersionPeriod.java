package ochretiller.audit;

import java.util.Map;
import java.util.TreeMap;

/**
 * A period in which one version was active on a server, with its invocation counts. Immutable.
 *
 * @param version number of the version, 0 before the first
 * @param versionHash SHA-256 of the version in hexadecimal, empty if it has none
 * @param startMillis start, Unix milliseconds
 * @param endMillis end, Unix milliseconds
 * @param monotonicMillis length by the monotonic clock; it differs from the Unix times if the Unix
 *     clock was stepped
 * @param operations counts by operation name
 */
public record VersionPeriod(
        long version,
        String versionHash,
        long startMillis,
        long endMillis,
        long monotonicMillis,
        Map<String, InvocationCounts> operations)
        implements AuditRecord {
    private static final int MAX_HASH_CHARS = 64;

    /** Tolerated difference of the two clocks, plus a thousandth of the period's length. */
    private static final long CLOCK_DRIFT_MILLIS = 50;

    private static final long CLOCK_DRIFT_DIVISOR = 1_000;

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if the version or the length is negative, or the hash too
     *     long
     */
    public VersionPeriod {
        if (version < 0 || versionHash.length() > MAX_HASH_CHARS || monotonicMillis < 0) {
            throw new IllegalArgumentException("no span");
        }
        operations = Map.copyOf(operations);
    }

    /**
     * Returns the milliseconds by which the Unix clock was stepped forward, negative if it was
     * stepped backward; 0 if it only drifted.
     */
    public long clockStepMillis() {
        long step = endMillis - startMillis - monotonicMillis;
        long drift = CLOCK_DRIFT_MILLIS + monotonicMillis / CLOCK_DRIFT_DIVISOR;
        return Math.abs(step) <= drift ? 0 : step;
    }

    /** Returns the sum of the counts of all operations. */
    public InvocationCounts totals() {
        return operations.values().stream().reduce(InvocationCounts.NONE, InvocationCounts::plus);
    }

    @Override
    public String toString() {
        return "period of version " + version + ' ' + new TreeMap<>(operations);
    }
}
