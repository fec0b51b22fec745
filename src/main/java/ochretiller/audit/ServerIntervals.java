package ochretiller.audit;

import java.util.ArrayList;
import java.util.List;

/**
 * Turns one server's records into intervals without holes: what no record covers becomes an
 * interval of its own, with what is known of the reason. Used once, by one thread.
 */
final class ServerIntervals {
    /**
     * So much may pass between the end of one period and the start of the next without anything
     * being missing.
     */
    private static final long JOINT_MILLIS = 1_000;

    private static final String NOTHING_RECORDED = "nothing was recorded";

    private final String server;
    private final long fromMillis;
    private final long toMillis;
    private final List<TimelineInterval> intervals = new ArrayList<>();

    /** Up to here everything is in an interval. */
    private long coveredUntilMillis;

    /** Why nothing is known where the next period does not follow at once. */
    private String reasonForGap = NOTHING_RECORDED;

    private boolean fenced;

    ServerIntervals(String server, long fromMillis, long toMillis) {
        this.server = server;
        this.fromMillis = fromMillis;
        this.toMillis = toMillis;
        this.coveredUntilMillis = fromMillis;
    }

    /** The intervals between the two times, oldest first. */
    List<TimelineInterval> build(List<AuditRecord> records) {
        for (AuditRecord record : records) {
            if (record instanceof AuditEvent event) {
                addEvent(event);
            } else if (record instanceof VersionPeriod period) {
                addPeriod(period);
            }
        }
        if (toMillis - coveredUntilMillis > JOINT_MILLIS) {
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
                // changes no status
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
        if (gap > JOINT_MILLIS) {
            addGap(start, reasonForGap);
        } else {
            // A clock that was set back makes periods overlap: what was recorded first stands, and
            // the rest goes on after it.
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
