package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Reports other live processes with this server's name or address, a deployment mistake that only
 * operators can correct. Each incarnation is reported at most once per {@link #REPORT_PERIODS}
 * protocol periods.
 */
final class DuplicateNameDetector {
    /** Maximum incarnations reported at a time; more would tell the operators nothing new. */
    private static final int MAX_REPORTED = 9;

    /** Protocol periods after which an incarnation is reported again. */
    private static final int REPORT_PERIODS = 600;

    private final ProtocolContext context;
    private final Map<Long, Duration> reportedAt = new HashMap<>();

    DuplicateNameDetector(ProtocolContext context) {
        this.context = context;
    }

    /** Reports a process, unless it was reported recently or too many were. */
    void report(Member duplicate) {
        if (reportedAt.containsKey(duplicate.incarnation()) || reportedAt.size() >= MAX_REPORTED) {
            return;
        }
        reportedAt.put(duplicate.incarnation(), context.clock().now());
        context.counters().increment(MembershipCounter.DUPLICATE_NAMES);
        context.report(new MembershipChange.DuplicateName(duplicate));
    }

    /** Removes old reports, so that the processes can be reported again. */
    void forgetOldReports() {
        Duration retention = context.timing().probeIntervals(REPORT_PERIODS);
        reportedAt.values().removeIf(time -> context.clock().hasElapsed(time, retention));
    }
}
