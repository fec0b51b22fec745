package ochretiller.server;

import java.time.Duration;
import ochretiller.model.InvocationId;

/** Maintains the table by which retries of keyed invocations are recognised. */
public interface IdempotencyActions {
    /**
     * Returns whether a new keyed invocation could be recorded now; one that cannot be recorded
     * must not run.
     */
    default boolean acceptsIdempotencyEntries() {
        return true;
    }

    /**
     * Records a keyed invocation, so that attempts with the same key count as its retries.
     *
     * @param window how long from now it is recorded
     */
    void putIdempotencyEntry(InvocationId id, Duration window);

    /** Removes the entry of an invocation that has not run; its key is free again. */
    void removeIdempotencyEntry(InvocationId id);
}
