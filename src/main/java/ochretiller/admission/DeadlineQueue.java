package ochretiller.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import ochretiller.model.InvocationId;

/**
 * When each open invocation is to be checked against its deadlines. It holds nothing of an
 * invocation that has been removed, so its size is bounded by the number of open invocations,
 * whatever the rate at which others are read and answered.
 */
final class DeadlineQueue {
    private static final Comparator<Check> BY_TIME =
            Comparator.comparing(Check::at).thenComparing(Check::sequence);

    private final TreeSet<Check> checks = new TreeSet<>(BY_TIME);
    private final Map<InvocationId, List<Check>> checksByInvocation = new HashMap<>();
    private long lastSequence;

    /** A check at a point in time; those at the same time are made in the order of addition. */
    private record Check(Duration at, long sequence, TrackedInvocation invocation) {}

    /** Adds a check of an invocation. */
    void add(TrackedInvocation invocation, Duration at) {
        lastSequence++;
        Check check = new Check(at, lastSequence, invocation);
        checks.add(check);
        checksByInvocation.computeIfAbsent(invocation.id(), id -> new ArrayList<>(2)).add(check);
    }

    /** Removes all checks of an invocation. */
    void remove(TrackedInvocation invocation) {
        List<Check> removed = checksByInvocation.remove(invocation.id());
        if (removed != null) {
            removed.forEach(checks::remove);
        }
    }

    /** Returns the time of the next check, or empty if there is none. */
    Optional<Duration> nextAt() {
        return checks.isEmpty() ? Optional.empty() : Optional.of(checks.first().at);
    }

    /**
     * Removes the next check that is due at a time, and returns its invocation, if there is one.
     */
    Optional<TrackedInvocation> pollDue(Duration now) {
        if (checks.isEmpty() || checks.first().at.compareTo(now) > 0) {
            return Optional.empty();
        }
        Check due = checks.pollFirst();
        List<Check> remaining = checksByInvocation.get(due.invocation.id());
        remaining.remove(due);
        if (remaining.isEmpty()) {
            checksByInvocation.remove(due.invocation.id());
        }
        return Optional.of(due.invocation);
    }

    /** Returns the number of checks. */
    int size() {
        return checks.size();
    }
}
