package ochretiller.server;

import java.time.Duration;
import java.util.function.Function;
import ochretiller.model.InvocationId;
import ochretiller.model.RunOutcome;

/** Answers clients. Each invocation gets one final answer; a second one is ignored. */
public interface AnswerActions {
    /**
     * Answers a retry with the result of its original attempt, without a run of its own.
     *
     * @param onOutcome receives the outcome once, never before this method has returned
     */
    void replayResult(InvocationId id, Function<RunOutcome, Action> onOutcome);

    /**
     * Rejects an invocation that has not run.
     *
     * @param retryAfter time from now after which the client should retry; zero for no advice
     * @param isFinal whether to ask the client not to try another server
     */
    void throttle(InvocationId id, Duration retryAfter, boolean isFinal);

    /**
     * Answers with an error. A run of the invocation continues until it ends, reaches a call or is
     * stopped.
     */
    void fail(InvocationId id);
}
