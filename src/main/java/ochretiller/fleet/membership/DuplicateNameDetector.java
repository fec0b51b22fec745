package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Reports other live processes that bear this server's name or use its address: a mistake of
 * deployment that only operators can put right. Each incarnation is reported once in a while.
 */
final class DuplicateNameDetector {
    /** Incarnations remembered as reported; by then the operators know. */
    private static final int MAX_REMEMBERED = 9;

    /** Protocol periods after which an incarnation is reported again. */
    private static final int REPORT_PERIODS = 600;

    private final ProtocolContext context;
    private final Map<Long, Duration> reportedAt = new HashMap<>();

    DuplicateNameDetector(ProtocolContext context) {
        this.context = context;
    }

    /** Reports a process, unless it was reported lately. */
    void report(Member duplicate) {
        if (reportedAt.containsKey(duplicate.incarnation())
                || reportedAt.size() >= MAX_REMEMBERED) {
            return;
        }
        reportedAt.put(duplicate.incarnation(), context.clock().now());
        context.counters().increment(MembershipCounter.DUPLICATE_NAMES);
        context.report(new MembershipChange.DuplicateName(duplicate));
    }

    /** Forgets reports that are old. */
    void forgetOldReports() {
        Duration retention = context.timing().probeIntervals(REPORT_PERIODS);
        reportedAt.values().removeIf(since -> context.clock().hasElapsed(since, retention));
    }
}
