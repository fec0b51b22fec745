package ochretiller.model;

import java.time.Duration;

/**
 * One kind of work that clients can request.
 *
 * @param name unique name; admission decisions do not depend on it
 * @param sideEffect effect of executing the same request a second time
 * @param latencyObjective an answer within this time of the first attempt earns the billed value
 * @param clientTimeout how long a client waits, over all its attempts
 * @param billedValue what an answer within the objective earns
 * @param lateValueShare share of the billed value that an answer after the objective earns
 * @param deduplicationWindow for a keyed operation: how long after its arrival a request is
 *     recognized when it is repeated
 * @param makesCalls whether its runs may call the records service
 * @param degradedValueShare share of the billed value that is earned without that call
 */
public record Operation(
        String name,
        SideEffect sideEffect,
        Duration latencyObjective,
        Duration clientTimeout,
        double billedValue,
        double lateValueShare,
        Duration deduplicationWindow,
        boolean makesCalls,
        double degradedValueShare) {
    // Not generated: a record's generated methods are linked at run time, which slows startup.
    // Comparing the name suffices, since it is unique among a server's operations.
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof Operation operation && operation.name.equals(name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }

    /** Returns whether a request may be executed any number of times. */
    public boolean isIdempotent() {
        return sideEffect == SideEffect.IDEMPOTENT;
    }

    /** Returns whether its requests carry idempotency keys. */
    public boolean isKeyed() {
        return sideEffect == SideEffect.KEYED;
    }
}
