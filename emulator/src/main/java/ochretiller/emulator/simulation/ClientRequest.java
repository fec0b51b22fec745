package ochretiller.emulator.simulation;

import java.util.function.Consumer;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.model.Operation;

/** A request of a client, with all its attempts. */
final class ClientRequest {
    /** The result for the client. */
    enum End {
        SUCCEEDED,
        THROTTLED,
        ERRORED,
        TIMED_OUT
    }

    final Scenario.Operation plan;
    final Operation operation;
    final String token;
    final long caller;
    final double work;
    final double askedAt;
    final double dueAt;
    private final Consumer<End> onEnd;

    /** Attempts made so far, including those for which no server was known. */
    int tries;
    int throttled;
    boolean over;
    EmulatedServer at;

    /** Server of the failed last attempt, which the next one avoids if it can; may be null. */
    EmulatedServer not;

    RequestAttempt message;

    ClientRequest(
            Scenario.Operation spec,
            Operation operation,
            String token,
            long caller,
            double workSeconds,
            double sentAt,
            Consumer<End> onEnd) {
        this.plan = spec;
        this.operation = operation;
        this.token = token;
        this.caller = caller;
        this.work = workSeconds;
        this.askedAt = sentAt;
        this.dueAt = sentAt + spec.timeoutMs() / 1e3;
        this.onEnd = onEnd;
    }

    /** Ends the request; later calls have no effect. */
    void ends(End outcome) {
        if (over) {
            return;
        }
        over = true;
        onEnd.accept(outcome);
    }
}
