package ochretiller.server;

import java.time.Duration;
import java.util.function.Function;
import ochretiller.model.CallEnd;
import ochretiller.model.Gauges;
import ochretiller.model.InvId;
import ochretiller.model.Operation;
import ochretiller.model.RunEnd;

/**
 * What a server can do. A continuation is handed the result and answers with the step that follows.
 */
public interface Server {
    /** Time since this server's start. */
    Duration now();

    /**
     * Runs a held invocation; a run that ends answers its caller unless an answer was given before.
     */
    void run(InvId id, Function<RunEnd, Step> then);

    /** Answers a held invocation with the result of the one it repeats, at little cost. */
    void replay(InvId id, Function<RunEnd, Step> then);

    /**
     * Final answer: turned away, and when to return; {@code last} asks the caller not to try
     * elsewhere.
     */
    void throttle(InvId id, Duration retryIn, boolean last);

    /**
     * Final answer: an error. Work on a core goes on until it ends, reaches a call or is stopped.
     */
    void fail(InvId id);

    /** Stops work that runs. It is not an answer. */
    void stop(InvId id);

    /** Makes the call that an invocation waits for, and gives it up after {@code patience}. */
    void call(InvId id, Duration patience, Function<CallEnd, Step> then);

    /** Goes on without the call that an invocation waits for. */
    void skipCall(InvId id);

    /**
     * Whether the mark of a new tokened invocation would be kept now; one whose mark would not be
     * must not run.
     */
    default boolean keeps() {
        return true;
    }

    /**
     * The pool that carries out the runs of an operation, or null where they take the cores behind
     * this server.
     */
    default String pool(Operation operation) {
        return null;
    }

    /**
     * Runs that a pool may have at once, as its workers are now; none while all of them are out.
     */
    default int places(String pool) {
        return 0;
    }

    /** How many more runs a pool would take now. */
    default int free(String pool) {
        return 0;
    }

    /** Puts an invocation into the table of tokens, from now for {@code span}. */
    void keep(InvId id, Duration span);

    /** Takes an invocation out of the table of tokens. */
    void erase(InvId id);

    /** Hands over the gauges once {@code span} has passed. */
    void after(Duration span, Function<Gauges, Step> then);

    /** What health checks are told; {@code stored} answers them from this setting without work. */
    void health(boolean good, boolean stored);

    /** Sets the free value that goes out with each answer. */
    void advertise(double value);

    /**
     * Closes connections that were silent for this long; zero leaves them as long as the site
     * allows.
     */
    void idleAfter(Duration span);

    /** Leaves a line in the report. */
    void note(String text);
}
