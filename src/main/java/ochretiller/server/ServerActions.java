package ochretiller.server;

import java.time.Duration;
import java.util.function.Function;
import ochretiller.model.CallOutcome;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;

/**
 * What a server can do. A continuation is handed the result and answers with the step that follows.
 */
public interface ServerActions {
    /** Time since this server's start. */
    Duration now();

    /**
     * Runs a held invocation; a run that ends answers its caller unless an answer was given before.
     */
    void startRun(InvocationId id, Function<RunOutcome, Action> then);

    /** Answers a held invocation with the result of the one it repeats, at little cost. */
    void replayResult(InvocationId id, Function<RunOutcome, Action> then);

    /**
     * Final answer: turned away, and when to return; {@code last} asks the caller not to try
     * elsewhere.
     */
    void throttle(InvocationId id, Duration retryIn, boolean last);

    /**
     * Final answer: an error. Work on a core goes on until it ends, reaches a call or is stopped.
     */
    void fail(InvocationId id);

    /** Stops work that runs. It is not an answer. */
    void stopRun(InvocationId id);

    /** Makes the call that an invocation waits for, and gives it up after {@code patience}. */
    void startCall(InvocationId id, Duration patience, Function<CallOutcome, Action> then);

    /** Goes on without the call that an invocation waits for. */
    void skipCall(InvocationId id);

    /**
     * Whether the mark of a new tokened invocation would be kept now; one whose mark would not be
     * must not run.
     */
    default boolean acceptsIdempotencyEntries() {
        return true;
    }

    /**
     * The pool that carries out the runs of an operation, or null where they take the cores behind
     * this server.
     */
    default String poolOf(Operation operation) {
        return null;
    }

    /**
     * Runs that a pool may have at once, as its workers are now; none while all of them are out.
     */
    default int poolCapacity(String pool) {
        return 0;
    }

    /** How many more runs a pool would take now. */
    default int freePoolSlots(String pool) {
        return 0;
    }

    /** Puts an invocation into the table of tokens, from now for {@code span}. */
    void putIdempotencyEntry(InvocationId id, Duration span);

    /** Takes an invocation out of the table of tokens. */
    void removeIdempotencyEntry(InvocationId id);

    /** Hands over the gauges once {@code span} has passed. */
    void schedule(Duration span, Function<ResourceGauges, Action> then);

    /** What health checks are told; {@code stored} answers them from this setting without work. */
    void setHealth(boolean good, boolean stored);

    /** Sets the free value that goes out with each answer. */
    void advertiseCapacity(double value);

    /**
     * Closes connections that were silent for this long; zero leaves them as long as the site
     * allows.
     */
    void setIdleTimeout(Duration span);

    /** Leaves a line in the report. */
    void logNote(String text);
}
