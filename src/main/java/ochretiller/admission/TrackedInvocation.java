package ochretiller.admission;

import static ochretiller.time.Durations.inSeconds;
import static ochretiller.time.Durations.min;
import static ochretiller.time.Durations.ofSeconds;

import java.time.Duration;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * One invocation from the moment it was read until it needs no more attention, and how far it has
 * come. Times count from the start of the server.
 */
final class TrackedInvocation {
    /** How far an invocation has come. */
    private enum State {
        /** Waits in the admission queue. */
        QUEUED,
        /** A retry that waits for its original attempt to finish. */
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
     * Share of its latency objective that a marked retry is taken to have spent at other servers
     * already.
     */
    private static final double OBJECTIVE_SPENT_BEFORE_RETRY = 0.5;

    /** A run should end this long before its objective, so that the answer reaches the client. */
    private static final Duration ANSWER_TRANSIT_TIME = Duration.ofMillis(30);

    private final Invocation invocation;
    private final ExecutionSite site;
    private final double priorityWeight;
    private final Duration completionDeadline;
    private final ClientOperation clientOperation;
    private State state = State.QUEUED;
    private boolean isStarted;
    private boolean isAnswered;
    private Duration startedAt = Duration.ZERO;
    private Duration blockedAt = Duration.ZERO;
    private Duration callStartedAt = Duration.ZERO;
    private Duration timeAtCalls = Duration.ZERO;

    /**
     * Starts to track an invocation that has just been read.
     *
     * @param invocation what was read
     * @param site where it would run
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

    /** Returns whether it repeats a keyed attempt, which may not run beside it. */
    boolean isKeyedRetry() {
        return operation().isKeyed() && invocation.originalAttempt() != null;
    }

    ExecutionSite site() {
        return site;
    }

    boolean runsAt(ExecutionSite other) {
        return site.equals(other);
    }

    /** Returns the factor on the billed value: below one for what exceeds a tenant's quota. */
    double priorityWeight() {
        return priorityWeight;
    }

    /** Returns the stream of like invocations among which this one takes its turn. */
    ClientOperation clientOperation() {
        return clientOperation;
    }

    /** Returns when a run must have ended to earn the whole billed value. */
    Duration completionDeadline() {
        return completionDeadline;
    }

    /** Returns whether the completion deadline has passed. */
    boolean isPastCompletionDeadline(Duration now) {
        return now.compareTo(completionDeadline) > 0;
    }

    /** It waits in the admission queue. */
    void enqueue() {
        state = State.QUEUED;
    }

    /** It waits for the end of the attempt that it repeats. */
    void awaitOriginal() {
        state = State.AWAITING_ORIGINAL;
    }

    /** It is being answered with the stored result of the attempt that it repeats. */
    void startReplay() {
        state = State.REPLAYING;
    }

    /** Its run starts. */
    void startRun(Duration now) {
        state = State.RUNNING;
        isStarted = true;
        startedAt = now;
    }

    /** Its run needs a downstream call and leaves the cores until that has ended. */
    void awaitCall(Duration now) {
        if (state == State.RUNNING) {
            blockedAt = now;
        }
        state = State.AWAITING_CALL;
    }

    /** Its downstream call is made. */
    void startCall(Duration now) {
        state = State.CALLING;
        callStartedAt = now;
    }

    /** Its downstream call succeeded, and the run goes on. */
    void resumeAfterCall(Duration now) {
        timeAtCalls = timeAtCalls.plus(now.minus(blockedAt));
        state = State.RUNNING;
    }

    /** Its downstream call failed, and the run goes on without the result. */
    void resumeWithoutCall() {
        state = State.RUNNING;
    }

    /** Its downstream call failed, and the run does not go on for now. */
    void stayBlocked() {
        state = State.AWAITING_CALL;
    }

    /** Its client has the final answer, or waits for none any more. */
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

    /** Returns whether its run has ever been started; such a run may have had its effect. */
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

    /** Returns the time spent at downstream calls that succeeded. */
    Duration timeAtCalls() {
        return timeAtCalls;
    }

    /** Returns the time that the run has spent on the cores until now. */
    Duration timeOnCores(Duration now) {
        return now.minus(startedAt).minus(timeAtCalls);
    }
}
