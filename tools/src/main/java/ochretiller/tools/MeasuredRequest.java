package ochretiller.tools;

import java.util.concurrent.CompletableFuture;

/** One request that a side sends, and what came of it. */
final class MeasuredRequest {
    /** What its caller saw. */
    enum Outcome {
        SUCCEEDED,
        THROTTLED,
        ERRORED,
        NONE,
        VANISHED
    }

    final long number;
    final String operation;
    final String body;

    /**
     * When it was to be sent, nanoseconds: latency counts from here, so that a server that stands
     * still is not spared.
     */
    final long due;

    /** The token of a keyed one, else null. */
    final String token;

    /** Its caller leaves without waiting for the answer. */
    final boolean vanishes;

    final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    volatile long sentAt;
    volatile long answeredAt;

    MeasuredRequest(long number, long due, String token, boolean vanishes) {
        this(
                number,
                due,
                token,
                vanishes,
                token == null ? "read" : "order",
                token == null ? "load" : token);
    }

    MeasuredRequest(
            long number, long due, String token, boolean vanishes, String operation, String body) {
        this.operation = operation;
        this.body = body;
        this.number = number;
        this.due = due;
        this.token = token;
        this.vanishes = vanishes;
    }

    /** Whether this is the first answer that it gets. */
    boolean ends(Outcome with) {
        answeredAt = System.nanoTime();
        return outcome.complete(with);
    }
}
