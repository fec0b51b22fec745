package ochretiller.tools;

import java.util.concurrent.CompletableFuture;

/** A request to the measured server, with its times and its outcome. */
final class MeasuredRequest {
    /** How the request ended for its client. */
    enum Outcome {
        SUCCEEDED,
        THROTTLED,
        ERRORED,
        UNANSWERED,
        ABANDONED
    }

    final long number;
    final String operation;
    final String body;

    /**
     * When the request was to be sent, on the clock of {@link System#nanoTime}. Latency is measured
     * from here, so that it includes the time for which a stalled server delays the sender.
     */
    final long dueNanos;

    /** The idempotency token of a keyed request; null for other requests. */
    final String token;

    /** Whether the client disconnects without waiting for the answer. */
    final boolean disconnectsEarly;

    final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    volatile long sentNanos;
    volatile long endNanos;

    MeasuredRequest(long number, long dueNanos, String token, boolean disconnectsEarly) {
        this(
                number,
                dueNanos,
                token,
                disconnectsEarly,
                token == null ? "read" : "order",
                token == null ? "load" : token);
    }

    MeasuredRequest(
            long number,
            long dueNanos,
            String token,
            boolean disconnectsEarly,
            String operation,
            String body) {
        this.operation = operation;
        this.body = body;
        this.number = number;
        this.dueNanos = dueNanos;
        this.token = token;
        this.disconnectsEarly = disconnectsEarly;
    }

    /** Ends the request; returns false if it had an outcome before, which then stays. */
    boolean end(Outcome finalOutcome) {
        endNanos = System.nanoTime();
        return outcome.complete(finalOutcome);
    }
}
