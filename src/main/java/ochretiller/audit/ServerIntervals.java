package ochretiller.audit;

import java.util.ArrayList;
import java.util.List;

/**
 * Converts one server's records into contiguous intervals. Time that no record covers becomes an
 * interval of its own, which states the known reason. Not thread-safe; used once.
 */
final class ServerIntervals {
    /** Longest time between two periods that does not count as a gap. */
    private static final long GAP_TOLERANCE_MILLIS = 1_000;

    private static final String NOTHING_RECORDED = "nothing was recorded";

    private final String server;
    private final long fromMillis;
    private final long toMillis;
    private final List<TimelineInterval> intervals = new ArrayList<>();

    /** End of the last interval; all time before it is covered. */
    private long coveredUntilMillis;

    /** Reason to report if there is a gap before the next period. */
    private String reasonForGap = NOTHING_RECORDED;

    private boolean fenced;

    ServerIntervals(String server, long fromMillis, long toMillis) {
        this.server = server;
        this.fromMillis = fromMillis;
        this.toMillis = toMillis;
        this.coveredUntilMillis = fromMillis;
    }

    /** Returns the intervals between {@code fromMillis} and {@code toMillis}, oldest first. */
    List<TimelineInterval> build(List<AuditRecord> records) {
        for (AuditRecord record : records) {
            if (record instanceof AuditEvent event) {
                addEvent(event);
            } else if (record instanceof VersionPeriod period) {
                addPeriod(period);
            }
        }
        if (toMillis - coveredUntilMillis > GAP_TOLERANCE_MILLIS) {
            addGap(toMillis, "nothing is recorded yet, or it is lost");
        }
        return intervals;
    }

    private void addEvent(AuditEvent event) {
        switch (event.kind()) {
            case FENCED -> fenced = true;
            case UNFENCED -> fenced = false;
            case STARTED -> {
                fenced = false;
                reasonForGap = "its process was away, or ended without a word";
            }
            case RECORDS_LOST -> reasonForGap = "records were lost: " + event.text();
            default -> {
                // other events change neither the status nor the reason
            }
        }
    }

    private void addPeriod(VersionPeriod period) {
        long start = Math.max(fromMillis, period.startMillis());
        long end = Math.min(toMillis, period.endMillis());
        if (end <= start) {
            return;
        }
        long gap = start - coveredUntilMillis;
        if (gap > GAP_TOLERANCE_MILLIS) {
            addGap(start, reasonForGap);
        } else {
            // Periods overlap if the clock was set back: the earlier record keeps its time, and
            // this interval covers the rest.
            start = coveredUntilMillis;
        }
        if (end > start) {
            VersionStatus status = fenced ? VersionStatus.FENCED : VersionStatus.ACTIVE;
            add(
                    new TimelineInterval(
                            server, start, end, status, period.version(), clockRemark(period)));
        }
        reasonForGap = NOTHING_RECORDED;
    }

    private static String clockRemark(VersionPeriod period) {
        long step = period.clockStepMillis();
        return step == 0 ? "" : "its clock was set by " + step + " ms meanwhile";
    }

    private void addGap(long endMillis, String reason) {
        add(
                new TimelineInterval(
                        server, coveredUntilMillis, endMillis, VersionStatus.UNKNOWN, 0, reason));
    }

    private void add(TimelineInterval interval) {
        intervals.add(interval);
        coveredUntilMillis = interval.endMillis();
    }
}
