package ochretiller.contracts;

import java.time.Duration;
import java.util.List;
import ochretiller.budgets.GuaranteedRate;
import ochretiller.budgets.TeamId;

/**
 * What one team and the broker have agreed on.
 *
 * @param version grows with each change; an invocation belongs to the one that it was read under
 * @param known addresses or prefixes that its callers come from, in the form of {@code 10.1.0.0/16}
 */
public record Contract(
        TeamId team,
        int version,
        List<String> known,
        List<Service> publishes,
        List<Call> calls,
        GuaranteedRate promise) {
    /**
     * A service that the team serves.
     *
     * @param objective time within which it promises nearly all answers
     */
    public record Service(String name, String pool, Duration objective) {}

    /**
     * A service that the team calls.
     *
     * @param work core seconds a second that it expects to cause there
     * @param inFlight most of its requests there at once
     * @param objective time within which an answer earns its value
     * @param timeout when its caller no longer waits
     * @param value billed value of one
     */
    public record Call(
            String service,
            double work,
            int inFlight,
            Duration objective,
            Duration timeout,
            double value) {}
}
