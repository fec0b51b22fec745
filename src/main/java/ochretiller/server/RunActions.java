package ochretiller.server;

import java.time.Duration;
import java.util.function.Function;
import ochretiller.model.CallOutcome;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.RunOutcome;

/**
 * Starts and stops runs, makes the calls that runs wait for, and reports the capacity of the worker
 * pools.
 */
public interface RunActions {
    /**
     * Runs an admitted invocation. Its client is answered with the result unless it was answered
     * before.
     *
     * @param onOutcome receives the outcome once, never before this method has returned
     */
    void startRun(InvocationId id, Function<RunOutcome, Action> onOutcome);

    /**
     * Requests that a run be stopped; its outcome is reported as for any other run. The client is
     * not answered.
     */
    void stopRun(InvocationId id);

    /**
     * Makes the call that a run waits for.
     *
     * @param timeout time after which the call is abandoned
     * @param onOutcome receives the outcome once, never before this method has returned
     */
    void startCall(InvocationId id, Duration timeout, Function<CallOutcome, Action> onOutcome);

    /** Lets a run continue without the call that it waits for. */
    void skipCall(InvocationId id);

    /**
     * Returns the worker pool that runs an operation, or null if it runs on the processor of this
     * server.
     */
    default String poolOf(Operation operation) {
        return null;
    }

    /**
     * Returns how many concurrent runs a pool supports with its current workers; 0 if none of them
     * is usable.
     */
    default int poolCapacity(String pool) {
        return 0;
    }

    /** Returns how many more runs a pool accepts now. */
    default int freePoolSlots(String pool) {
        return 0;
    }
}
