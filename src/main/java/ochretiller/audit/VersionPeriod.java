package ochretiller.audit;

import java.util.Map;
import java.util.TreeMap;

/**
 * A period in which a server acted on one version, and what it did meanwhile. Immutable.
 *
 * @param version number of the version, 0 before the first
 * @param versionHash SHA-256 of the version in hexadecimal, empty where it has none
 * @param startMillis its start, Unix milliseconds
 * @param endMillis its end, Unix milliseconds
 * @param monotonicMillis its length by a clock that nobody sets: where it differs from the times,
 *     the Unix clock was stepped
 * @param operations counts by the name of the operation
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

    /** Two clocks may differ by this much at any time, and by a thousandth of what has passed. */
    private static final long CLOCK_DRIFT_MILLIS = 50;

    private static final long CLOCK_DRIFT_DIVISOR = 1_000;

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException where the version or the length is negative, or the hash too
     *     long
     */
    public VersionPeriod {
        if (version < 0 || versionHash.length() > MAX_HASH_CHARS || monotonicMillis < 0) {
            throw new IllegalArgumentException("no span");
        }
        operations = Map.copyOf(operations);
    }

    /**
     * Milliseconds by which the Unix clock was stepped forward, negative for back; 0 where it ran
     * as it should.
     */
    public long clockStepMillis() {
        long step = endMillis - startMillis - monotonicMillis;
        long drift = CLOCK_DRIFT_MILLIS + monotonicMillis / CLOCK_DRIFT_DIVISOR;
        return Math.abs(step) <= drift ? 0 : step;
    }

    /** Counts over all operations. */
    public InvocationCounts totals() {
        return operations.values().stream().reduce(InvocationCounts.NONE, InvocationCounts::plus);
    }

    @Override
    public String toString() {
        return "span of version " + version + ' ' + new TreeMap<>(operations);
    }
}
