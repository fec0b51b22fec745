package ochretiller.emulator.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the events on emulated servers against the rules. Counts all violations and records the
 * first ones as text. All times are seconds since the start.
 */
public final class RuleChecker {
    /** Recorded violations; the first ones are enough to find the cause. */
    private static final int MAX_REPORTED_VIOLATIONS = 20;

    /** Seconds by which an answer may miss its deadline: answers are sent on a periodic timer. */
    private static final double DEADLINE_TOLERANCE_S = 0.01;

    private final List<String> violations = new ArrayList<>();
    private final Map<Long, OpenAttempt> openAttempts = new HashMap<>();

    /** Start of the last run of each server and token, and the end of its deduplication window. */
    private final Map<String, double[]> keyedRuns = new HashMap<>();

    private long violationCount;
    private long readCount;
    private long answerCount;
    private long runCount;

    /** An attempt that was read and has no answer yet. */
    private static final class OpenAttempt {
        private final String operation;
        private final double deadline;
        private final boolean nonIdempotent;
        private boolean started;
        private boolean clientGone;

        private OpenAttempt(String operation, double deadline, boolean nonIdempotent) {
            this.operation = operation;
            this.deadline = deadline;
            this.nonIdempotent = nonIdempotent;
        }
    }

    private void addViolation(double now, String description) {
        violationCount++;
        if (violations.size() < MAX_REPORTED_VIOLATIONS) {
            violations.add(String.format(java.util.Locale.ROOT, "%.3f s: %s", now, description));
        }
    }

    /**
     * Records that a server has read an attempt. A deadline that has passed counts as {@code now};
     * a {@code nonIdempotent} attempt must not be throttled once its run has started.
     */
    public void attemptRead(
            double now, long id, String operation, double deadline, boolean nonIdempotent) {
        readCount++;
        openAttempts.put(id, new OpenAttempt(operation, Math.max(deadline, now), nonIdempotent));
    }

    /**
     * Records the start of a run. Its token, null if the operation is not keyed, must not run again
     * on this server before {@code windowEnd}. An arrival after {@code graceEnd} must not run.
     */
    public void runs(
            double now,
            long id,
            String server,
            String token,
            double windowEnd,
            double graceEnd,
            double arrivedAt) {
        runCount++;
        OpenAttempt attempt = openAttempts.get(id);
        if (attempt != null) {
            attempt.started = true;
        }
        if (arrivedAt > graceEnd) {
            addViolation(now, "what arrived behind the grace runs on " + server);
        }
        if (token == null) {
            return;
        }
        double[] previous = keyedRuns.put(server + ' ' + token, new double[] {now, windowEnd});
        if (previous != null && previous[1] > now) {
            addViolation(now, "a token ran twice on " + server + ", first at " + previous[0]);
        }
    }

    /**
     * Records the final answer to an attempt. A deadline during the server's last pause, from
     * {@code pausedFrom} to {@code pausedTo} (-1 if there was none), moves to the end of that
     * pause, because a paused server cannot answer.
     */
    public void attemptAnswered(
            double now, long id, boolean throttled, double pausedFrom, double pausedTo) {
        OpenAttempt attempt = openAttempts.remove(id);
        if (attempt == null) {
            addViolation(now, "a second answer, or one that nobody asked for: " + id);
            return;
        }
        answerCount++;
        if (throttled && attempt.started && attempt.nonIdempotent) {
            addViolation(now, "throttled behind its run: " + attempt.operation);
        }
        double deadline =
                attempt.deadline >= pausedFrom - DEADLINE_TOLERANCE_S
                                && attempt.deadline <= pausedTo
                        ? pausedTo
                        : attempt.deadline;
        if (now > deadline + DEADLINE_TOLERANCE_S && !attempt.clientGone) {
            addViolation(
                    now,
                    "answered "
                            + (now - attempt.deadline)
                            + " s past its due time: "
                            + attempt.operation);
        }
    }

    /** Records that the server knows that the client has gone: it need not answer. */
    public void clientGone(long id) {
        OpenAttempt attempt = openAttempts.get(id);
        if (attempt != null) {
            attempt.clientGone = true;
        }
    }

    /** Drops an attempt whose connection was lost: the client learns that without an answer. */
    public void connectionLost(long id) {
        openAttempts.remove(id);
    }

    /** Records that a server shut down without answering an attempt that it had read. */
    public void serverStoppedWithoutAnswer(double now, long id, String server) {
        OpenAttempt attempt = openAttempts.remove(id);
        if (attempt != null && !attempt.clientGone) {
            addViolation(now, server + " left without an answer to " + attempt.operation);
        }
    }

    /** Ends the check: every attempt that is still open was never answered. */
    public void finish(double now) {
        openAttempts.forEach(
                (id, attempt) -> {
                    if (!attempt.clientGone) {
                        addViolation(now, "never answered: " + attempt.operation);
                    }
                });
    }

    /** Returns the first violations, each with its time. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of all violations. */
    public long violationCount() {
        return violationCount;
    }

    /** Returns the number of attempts read. */
    public long reads() {
        return readCount;
    }

    /** Returns the number of attempts that got a final answer. */
    public long answers() {
        return answerCount;
    }

    /** Returns the number of runs started. */
    public long runs() {
        return runCount;
    }
}
