package ochretiller.model;

import java.time.Duration;

/**
 * One kind of work.
 *
 * @param name its name, for reports and as an identity; no decision reads it
 * @param sideEffect what running it twice would do
 * @param latencyObjective an answer within this long of the first try earns the whole billed value
 * @param clientTimeout how long a client waits over all its tries
 * @param billedValue billed value
 * @param lateValueShare share of the billed value that an answer after the objective earns
 * @param deduplicationWindow for a tokened one: how long after it arrived it may come again
 * @param makesCalls its invocations may call below
 * @param degradedValueShare share of the billed value that is left when its call below is left out
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
    // As with ids: the name, alone among a server's operations, stands for all.
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof Operation operation && operation.name.equals(name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }

    public boolean isIdempotent() {
        return sideEffect == SideEffect.IDEMPOTENT;
    }

    public boolean isKeyed() {
        return sideEffect == SideEffect.KEYED;
    }
}
