package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.max;
import static ochretiller.time.Durations.min;

import java.time.Duration;

/**
 * Detects two kinds of overload that are not visible in the admission queue.
 *
 * <p>A <i>read backlog</i>: invocations wait unread because reading and runs compete for the cores.
 * It sustains itself, since clients retry what is read late, and retries must be read too. It is
 * measured as the smaller age of the last two invocations read, as one may have shared its core.
 *
 * <p>A <i>stall</i>: no run on the cores makes progress, for example during a long pause of the
 * machine. Its duration counts as read delay too.
 */
final class OverloadDetector {
    /** Read delay that counts as a backlog, as a share of the shortest latency objective. */
    private static final double BACKLOG_SHARE = 0.2;

    /** The same for a marked retry, which has already spent time at another server. */
    private static final double BACKLOG_SHARE_FOR_RETRIES = BACKLOG_SHARE * 0.5;

    /** Read delay of a severe backlog, as a multiple of the shortest latency objective. */
    private static final double SEVERE_BACKLOG_MULTIPLE = 3;

    /** Time without progress that counts as a stall, as a multiple of the longest expected run. */
    private static final double STALL_MULTIPLE = 3;

    private Duration readDelay = Duration.ZERO;
    private Duration lastAge = Duration.ZERO;
    private Duration lastReadAt = Duration.ZERO;
    private Duration lastProgressAt = Duration.ZERO;
    private boolean isStalled;

    /** Records the read of an invocation that reached the machine {@code age} ago. */
    void onRead(Duration now, Duration age) {
        readDelay = min(age, lastAge);
        lastAge = age;
        lastReadAt = now;
    }

    /** Records progress: a run left the cores, or the first one starts on idle cores. */
    void onProgress(Duration now) {
        lastProgressAt = now;
    }

    /** Checks for a stall, given the longest expected duration of the current runs. */
    void checkStall(Duration now, double longestExpectedSeconds) {
        Duration sinceProgress = now.minus(lastProgressAt);
        isStalled = inSeconds(sinceProgress) > STALL_MULTIPLE * longestExpectedSeconds;
        if (isStalled) {
            readDelay = max(readDelay, sinceProgress);
        }
    }

    /** Resets the read delay if nothing was read for the length of a bucket. */
    void expireReadDelay(Duration now) {
        if (!isStalled && now.minus(lastReadAt).compareTo(MeasurementWindows.BUCKET) > 0) {
            readDelay = Duration.ZERO;
        }
    }

    /** Returns how long invocations currently wait to be read. */
    Duration readDelay() {
        return readDelay;
    }

    boolean isStalled() {
        return isStalled;
    }

    /** Returns whether there is a read backlog, relative to the shortest latency objective. */
    boolean hasReadBacklog(Duration shortestObjective) {
        return exceeds(shortestObjective, BACKLOG_SHARE);
    }

    /** Like {@link #hasReadBacklog}, but with the lower threshold for marked retries. */
    boolean hasReadBacklogForRetry(Duration shortestObjective) {
        return exceeds(shortestObjective, BACKLOG_SHARE_FOR_RETRIES);
    }

    /** Returns whether the backlog is so long that clients time out before they are answered. */
    boolean hasSevereReadBacklog(Duration shortestObjective) {
        return exceeds(shortestObjective, SEVERE_BACKLOG_MULTIPLE);
    }

    private boolean exceeds(Duration objective, double multiple) {
        return inSeconds(readDelay) > inSeconds(objective) * multiple;
    }
}
