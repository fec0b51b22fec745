package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.min;
import static ochretiller.time.Durations.ofSeconds;

import java.time.Duration;
import java.util.Optional;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * The progress of one invocation, from when it is read until it is answered and its run has ended.
 * Points in time are durations since the start of the server.
 */
final class TrackedInvocation {
    /** Progress of an invocation. */
    private enum State {
        /** Waits in the admission queue. */
        QUEUED,
        /** A retry that waits for the end of its original attempt. */
        AWAITING_ORIGINAL,
        /** A retry whose answer is the stored result of its original attempt. */
        REPLAYING,
        /** Occupies a core or a slot of a worker pool. */
        RUNNING,
        /** Has started, and waits until its downstream call may be made. */
        AWAITING_CALL,
        /** Has started, and its downstream call is in flight. */
        CALLING
    }

    /**
     * Share of its latency objective that a marked retry is assumed to have already spent at other
     * servers.
     */
    private static final double OBJECTIVE_SPENT_BEFORE_RETRY = 0.5;

    /** Time before its objective at which a run should end, for its answer to arrive in time. */
    private static final Duration ANSWER_TRANSIT_TIME = Duration.ofMillis(30);

    private final Invocation invocation;
    private final ExecutionSite site;
    private final double priorityWeight;
    private final Duration completionDeadline;
    private final ClientOperation clientOperation;
    private State state = State.QUEUED;

    /** The entry of the attempt that a retry waits for; empty if it waits for none. */
    private Optional<IdempotencyEntry> awaitedEntry = Optional.empty();

    private boolean isStarted;
    private boolean isAnswered;
    private Duration startedAt = Duration.ZERO;
    private Duration blockedAt = Duration.ZERO;
    private Duration callStartedAt = Duration.ZERO;
    private Duration timeInCalls = Duration.ZERO;

    /**
     * Starts to track an invocation that was just read.
     *
     * @param invocation the invocation
     * @param site where it runs if it is admitted
     * @param priorityWeight factor on its billed value, from {@link QuotaTracker}
     */
    TrackedInvocation(Invocation invocation, ExecutionSite site, double priorityWeight) {
        this.invocation = invocation;
        this.site = site;
        this.priorityWeight = priorityWeight;
        this.completionDeadline = completionDeadline(invocation);
        this.clientOperation = new ClientOperation(invocation.client(), invocation.operation());
    }

    private static Duration completionDeadline(Invocation invocation) {
        Duration objective = invocation.operation().latencyObjective();
        Duration reserve =
                invocation.isRetry()
                        ? ofSeconds(inSeconds(objective) * OBJECTIVE_SPENT_BEFORE_RETRY)
                        : ANSWER_TRANSIT_TIME;
        return min(invocation.arrivedAt().plus(objective), invocation.deadline()).minus(reserve);
    }

    Invocation invocation() {
        return invocation;
    }

    InvocationId id() {
        return invocation.id();
    }

    Operation operation() {
        return invocation.operation();
    }

    /** Returns whether it repeats a keyed attempt and must not run concurrently with it. */
    boolean isKeyedRetry() {
        return operation().isKeyed() && invocation.originalAttempt() != null;
    }

    ExecutionSite site() {
        return site;
    }

    boolean runsAt(ExecutionSite other) {
        return site.equals(other);
    }

    /** Returns the factor on the billed value; below one if it exceeds its tenant's quota. */
    double priorityWeight() {
        return priorityWeight;
    }

    /** Returns the key of its round-robin order in the queue. */
    ClientOperation clientOperation() {
        return clientOperation;
    }

    /** Returns when its run must have ended to earn the full billed value. */
    Duration completionDeadline() {
        return completionDeadline;
    }

    /** Returns whether the completion deadline has passed. */
    boolean isPastCompletionDeadline(Duration now) {
        return now.compareTo(completionDeadline) > 0;
    }

    /** Marks it as waiting in the admission queue. */
    void enqueue() {
        stopAwaiting();
        state = State.QUEUED;
    }

    /**
     * Makes it wait for the end of the attempt that it repeats. If that attempt never ran, this may
     * be called again with the entry of a later attempt that was admitted in its place.
     */
    void awaitOriginal(IdempotencyEntry entry) {
        stopAwaiting();
        state = State.AWAITING_ORIGINAL;
        awaitedEntry = Optional.of(entry);
        entry.addWaitingRetry(this);
    }

    /** Removes it from the retries that wait for an attempt, if it is one of them. */
    void stopAwaiting() {
        awaitedEntry.ifPresent(entry -> entry.removeWaitingRetry(this));
        awaitedEntry = Optional.empty();
    }

    /** Returns the entry of the attempt that it waits for; empty if it waits for none. */
    Optional<IdempotencyEntry> awaitedEntry() {
        return awaitedEntry;
    }

    /** Marks it as being answered with the stored result of the attempt that it repeats. */
    void startReplay() {
        stopAwaiting();
        state = State.REPLAYING;
    }

    /** Marks its run as started. */
    void startRun(Duration now) {
        state = State.RUNNING;
        isStarted = true;
        startedAt = now;
    }

    /** Marks its run as waiting for a downstream call, off the cores. */
    void awaitCall(Duration now) {
        if (state == State.RUNNING) {
            blockedAt = now;
        }
        state = State.AWAITING_CALL;
    }

    /** Marks its downstream call as in flight. */
    void startCall(Duration now) {
        state = State.CALLING;
        callStartedAt = now;
    }

    /** Resumes its run after a downstream call that succeeded. */
    void resumeAfterCall(Duration now) {
        timeInCalls = timeInCalls.plus(now.minus(blockedAt));
        state = State.RUNNING;
    }

    /** Resumes its run without the result of a downstream call that failed. */
    void resumeWithoutCall() {
        state = State.RUNNING;
    }

    /** Marks its run as still blocked after a downstream call that failed. */
    void stayBlocked() {
        state = State.AWAITING_CALL;
    }

    /** Marks it as answered, or as needing no answer since its client has disconnected. */
    void markAnswered() {
        isAnswered = true;
    }

    boolean isQueued() {
        return state == State.QUEUED;
    }

    boolean isAwaitingOriginal() {
        return state == State.AWAITING_ORIGINAL;
    }

    boolean isRunning() {
        return state == State.RUNNING;
    }

    boolean isAwaitingCall() {
        return state == State.AWAITING_CALL;
    }

    boolean isCalling() {
        return state == State.CALLING;
    }

    /** Returns whether its run was ever started, so that its effect may have happened. */
    boolean isStarted() {
        return isStarted;
    }

    boolean isAnswered() {
        return isAnswered;
    }

    /** Returns when its downstream call was made. */
    Duration callStartedAt() {
        return callStartedAt;
    }

    /** Returns the time that its run was blocked for downstream calls that succeeded. */
    Duration timeInCalls() {
        return timeInCalls;
    }

    /** Returns the time that its run has spent on the cores until now. */
    Duration timeOnCores(Duration now) {
        return now.minus(startedAt).minus(timeInCalls);
    }
}
