package ochretiller.model;

import java.time.Duration;

/**
 * One kind of work.
 *
 * @param name its name, for reports and as an identity; no decision reads it
 * @param effect what running it twice would do
 * @param objective an answer within this long of the first try earns the whole billed value
 * @param clientTimeout how long a client waits over all its tries
 * @param value billed value
 * @param lateShare share of the billed value that an answer after the objective earns
 * @param window for a tokened one: how long after it arrived it may come again
 * @param calls its invocations may call below
 * @param degradedShare share of the billed value that is left when its call below is left out
 */
public record Operation(
        String name,
        Effect effect,
        Duration objective,
        Duration clientTimeout,
        double value,
        double lateShare,
        Duration window,
        boolean calls,
        double degradedShare) {
    // As with ids: the name, alone among a server's operations, stands for all.
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof Operation operation && operation.name.equals(name);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }

    public boolean idempotent() {
        return effect == Effect.IDEMPOTENT;
    }

    public boolean tokened() {
        return effect == Effect.TOKENED;
    }
}
