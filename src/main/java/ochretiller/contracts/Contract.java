package ochretiller.contracts;

import java.time.Duration;
import java.util.List;
import ochretiller.budgets.GuaranteedRate;
import ochretiller.budgets.TeamId;

/**
 * The contract between one team and the broker.
 *
 * @param version increases with each change; an invocation is bound to the version that was in
 *     force when it was read
 * @param clientAddresses addresses and prefixes of the team's clients, such as {@code 10.1.0.0/16}
 * @param services the services that the team provides
 * @param calls the services that the team uses
 * @param guarantee the capacity that the team is guaranteed
 */
public record Contract(
        TeamId team,
        int version,
        List<String> clientAddresses,
        List<Service> services,
        List<Call> calls,
        GuaranteedRate guarantee) {
    /**
     * A service that the team provides.
     *
     * @param pool the worker pool that runs the service
     * @param objective time within which nearly all requests are answered
     */
    public record Service(String name, String pool, Duration objective) {}

    /**
     * A service that the team uses.
     *
     * @param expectedWorkRate core seconds per second that the team expects to use there
     * @param maxInFlight maximum requests of the team in flight there
     * @param objective time within which an answer earns its value
     * @param timeout time after which the client no longer waits
     * @param value billed value of one answer
     */
    public record Call(
            String service,
            double expectedWorkRate,
            int maxInFlight,
            Duration objective,
            Duration timeout,
            double value) {}
}
