package ochretiller.emulator.simulation;

import java.util.function.Consumer;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.model.Operation;

/** What one caller wants, over all its tries. */
final class ClientRequest {
    /** How it ended for the caller. */
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
    private final Consumer<End> then;
    int tries;
    int throttled;
    boolean over;
    EmulatedServer at;

    /** Where the last try failed: the next goes elsewhere where there is a choice. */
    EmulatedServer not;

    RequestAttempt message;

    ClientRequest(
            Scenario.Operation plan,
            Operation operation,
            String token,
            long caller,
            double work,
            double askedAt,
            Consumer<End> then) {
        this.plan = plan;
        this.operation = operation;
        this.token = token;
        this.caller = caller;
        this.work = work;
        this.askedAt = askedAt;
        this.dueAt = askedAt + plan.timeoutMs() / 1e3;
        this.then = then;
    }

    void ends(End end) {
        if (over) {
            return;
        }
        over = true;
        then.accept(end);
    }
}
