package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;

import java.time.Duration;

/**
 * Two signs that a server is overloaded, neither of which its queue shows.
 *
 * <p>The <i>read backlog</i>: invocations lie unread because reading and runs compete for the
 * cores. It feeds itself, since what is read late is retried, which is read as well. Its measure is
 * the smaller age of the last two invocations read: a single one may only have shared its core.
 *
 * <p>A <i>stall</i>: no run on the cores makes progress, as in a long pause of the machine. Its
 * duration counts as read delay too.
 */
final class OverloadDetector {
    /** Read delay that is a backlog, as a share of the shortest latency objective. */
    private static final double BACKLOG_SHARE = 0.2;

    /** The same for an invocation that is a marked retry, which has spent time elsewhere. */
    private static final double BACKLOG_SHARE_FOR_RETRIES = BACKLOG_SHARE * 0.5;

    /** Read delay that is a severe backlog, as a multiple of the shortest latency objective. */
    private static final double SEVERE_BACKLOG_MULTIPLE = 3;

    /** A stall is no progress for this many times the longest expected run. */
    private static final double STALL_MULTIPLE = 3;

    private Duration readDelay = Duration.ZERO;
    private Duration lastAge = Duration.ZERO;
    private Duration lastReadAt = Duration.ZERO;
    private Duration lastProgressAt = Duration.ZERO;
    private boolean isStalled;

    /** An invocation was read that reached the machine {@code age} ago. */
    void onRead(Duration now, Duration age) {
        readDelay = min(age, lastAge);
        lastAge = age;
        lastReadAt = now;
    }

    /** A run on the cores has ended or left them, or the first one starts on empty cores. */
    void onProgress(Duration now) {
        lastProgressAt = now;
    }

    /**
     * Looks for a stall, given the longest time that one of the current runs is expected to take.
     */
    void checkStall(Duration now, double longestExpectedSeconds) {
        Duration sinceProgress = now.minus(lastProgressAt);
        isStalled = inSeconds(sinceProgress) > STALL_MULTIPLE * longestExpectedSeconds;
        if (isStalled) {
            readDelay = max(readDelay, sinceProgress);
        }
    }

    /** Forgets the read delay once nothing was read for a while. */
    void expireReadDelay(Duration now) {
        if (!isStalled && now.minus(lastReadAt).compareTo(MeasurementWindows.BUCKET) > 0) {
            readDelay = Duration.ZERO;
        }
    }

    /** Returns how long invocations lie unread. */
    Duration readDelay() {
        return readDelay;
    }

    boolean isStalled() {
        return isStalled;
    }

    /** Returns whether there is a read backlog, against the shortest latency objective. */
    boolean hasReadBacklog(Duration shortestObjective) {
        return exceeds(shortestObjective, BACKLOG_SHARE);
    }

    /** Returns the same as {@link #hasReadBacklog} by the lower threshold for marked retries. */
    boolean hasReadBacklogForRetry(Duration shortestObjective) {
        return exceeds(shortestObjective, BACKLOG_SHARE_FOR_RETRIES);
    }

    /** Returns whether the backlog is so long that clients give up before they are answered. */
    boolean hasSevereReadBacklog(Duration shortestObjective) {
        return exceeds(shortestObjective, SEVERE_BACKLOG_MULTIPLE);
    }

    private boolean exceeds(Duration objective, double multiple) {
        return inSeconds(readDelay) > inSeconds(objective) * multiple;
    }
}
