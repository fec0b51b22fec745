package ochretiller.emulator.simulation;

import java.util.function.Consumer;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.model.Operation;

/** A request of a client, with all its attempts. */
final class ClientRequest {
    /** The result for the client. */
    enum Outcome {
        SUCCEEDED,
        THROTTLED,
        ERRORED,
        TIMED_OUT
    }

    final Scenario.Operation spec;
    final Operation operation;
    final String token;
    final long caller;
    final double workSeconds;
    final double sentAt;
    final double deadline;
    private final Consumer<Outcome> onEnd;

    /** Attempts made so far, including those for which no server was known. */
    int attempts;

    int throttledAttempts;
    boolean ended;
    EmulatedServer server;

    /** Server of the failed last attempt, which the next one avoids if it can; may be null. */
    EmulatedServer avoidedServer;

    RequestAttempt lastAttempt;

    ClientRequest(
            Scenario.Operation spec,
            Operation operation,
            String token,
            long caller,
            double workSeconds,
            double sentAt,
            Consumer<Outcome> onEnd) {
        this.spec = spec;
        this.operation = operation;
        this.token = token;
        this.caller = caller;
        this.workSeconds = workSeconds;
        this.sentAt = sentAt;
        this.deadline = sentAt + spec.timeoutMs() / 1e3;
        this.onEnd = onEnd;
    }

    /** Ends the request; later calls have no effect. */
    void end(Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        onEnd.accept(outcome);
    }
}
