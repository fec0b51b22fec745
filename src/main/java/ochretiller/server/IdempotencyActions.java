package ochretiller.server;

import java.time.Duration;
import ochretiller.model.InvocationId;

/** Maintains the table by which retries of keyed invocations are recognized. */
public interface IdempotencyActions {
    /**
     * Returns whether a new keyed invocation can be recorded now; one that cannot be recorded must
     * not run.
     */
    default boolean acceptsIdempotencyEntries() {
        return true;
    }

    /**
     * Records a keyed invocation, so that later attempts with the same key count as its retries.
     *
     * @param window time from now after which the record expires
     */
    void putIdempotencyEntry(InvocationId id, Duration window);

    /** Removes the entry of an invocation that has not run, so that its key can be reused. */
    void removeIdempotencyEntry(InvocationId id);
}
