package ochretiller.audit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts what becomes of invocations under the version that is acted on; a span ends with the
 * version, and after a while in any case.
 */
public final class VersionUsage {
    /** Operations that are told apart in one span; the rest are counted together. */
    private static final int MOST = 64;

    static final String OTHERS = "(others)";

    private final Duration longest;
    private final Map<String, long[]> counts = new HashMap<>();
    private long version;
    private String hash = "";
    private long fromMs;
    private Duration from;

    /** What became of one. */
    public enum InvocationOutcome {
        RECEIVED,
        EXECUTED,
        REPLAYED,
        THROTTLED,
        ERRORED
    }

    public VersionUsage(Duration longest) {
        this.longest = longest;
    }

    public long version() {
        return version;
    }

    /** From now on this version is acted on; the span of the one before. */
    public Optional<AuditRecord.VersionPeriod> switchVersion(
            long next, String nextHash, long unixMs, Duration now) {
        Optional<AuditRecord.VersionPeriod> before =
                from == null ? Optional.empty() : Optional.of(closePeriod(unixMs, now));
        version = next;
        hash = nextHash;
        return before;
    }

    public void count(String operation, InvocationOutcome what) {
        String name = counts.containsKey(operation) || counts.size() < MOST ? operation : OTHERS;
        counts.computeIfAbsent(name, ignored -> new long[InvocationOutcome.values().length])[
                what.ordinal()]++;
    }

    /** The span so far, where it has lasted long enough. */
    public Optional<AuditRecord.VersionPeriod> closeIfDue(long unixMs, Duration now) {
        return from != null && now.minus(from).compareTo(longest) >= 0
                ? Optional.of(closePeriod(unixMs, now))
                : Optional.empty();
    }

    /** Begins to count, at a start. */
    public void startPeriod(long unixMs, Duration now) {
        fromMs = unixMs;
        from = now;
    }

    /** The span so far; the next begins here. */
    public AuditRecord.VersionPeriod closePeriod(long unixMs, Duration now) {
        Map<String, AuditRecord.InvocationCounts> operations = new HashMap<>();
        counts.forEach(
                (operation, each) ->
                        operations.put(
                                operation,
                                new AuditRecord.InvocationCounts(
                                        each[0], each[1], each[2], each[3], each[4])));
        AuditRecord.VersionPeriod span =
                new AuditRecord.VersionPeriod(
                        version,
                        hash,
                        fromMs,
                        unixMs,
                        Math.max(0, now.minus(from).toMillis()),
                        operations);
        counts.clear();
        startPeriod(unixMs, now);
        return span;
    }
}
