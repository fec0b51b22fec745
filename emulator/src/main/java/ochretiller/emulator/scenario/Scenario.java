package ochretiller.emulator.scenario;

import java.util.List;
import java.util.Map;

/**
 * A fleet, its load and its incidents. Times count from the start of the run; the suffix of a name
 * is its unit: S for seconds, Ms for milliseconds, Kb for kilobytes.
 *
 * @param seconds how long clients send requests; requests that are open then run to their end
 * @param settings server settings that override those derived from the fleet, by the names that the
 *     simulator protocol uses
 */
public record Scenario(
        String name,
        double seconds,
        Fleet fleet,
        Network network,
        Gateways gateways,
        RecordsService ledger,
        List<Operation> operations,
        Traffic traffic,
        List<Incident> incidents,
        Expectations expect,
        Map<String, String> settings) {
    /**
     * The emulated servers.
     *
     * @param crowd concurrent runs per core up to which no speed is lost
     * @param loss slowdown that each further {@code crowd} runs per core add
     * @param fallsAt runs per core above which a server crashes
     * @param coldShare speed of a restarted server as a share of its full speed
     * @param coldS time from the restart to full speed
     * @param bootS time that a server takes to start
     * @param readMs core time that reading one invocation takes
     * @param remembers whether in-flight markers and results survive a restart
     * @param forceMs time that the disk takes to make a marker or a result durable
     */
    public record Fleet(
            int boxes,
            int cores,
            double memoryKb,
            double runFactor,
            double keyKb,
            double crowd,
            double loss,
            double fallsAt,
            double coldShare,
            double coldS,
            double bootS,
            double readMs,
            double graceS,
            double stopS,
            boolean remembers,
            double forceMs) {}

    /**
     * The network between gateways, servers and the records service.
     *
     * @param delayMs least delay of a message in one direction
     * @param jitterMs longest extra delay; the extra is uniformly distributed
     */
    public record Network(double delayMs, double jitterMs) {}

    /**
     * The gateways, which choose a server for each attempt.
     *
     * @param choice random, turns (round robin), least (fewest open attempts) or two (the better of
     *     two random servers)
     * @param tries most attempts per request; 0 for as many as its timeout allows
     * @param tryMs timeout of one attempt; 0 for the remaining time of the request
     * @param pauseMs mean pause before a retry
     * @param heeds share of the gateways that follow the servers' backoff advice
     * @param listS longest delay until a gateway learns of a change in the list of servers
     * @param healthMs interval of the health checks
     */
    public record Gateways(
            int count,
            String choice,
            int tries,
            double tryMs,
            double pauseMs,
            double heeds,
            double listS,
            double healthMs) {}

    /**
     * The records service that runs call.
     *
     * @param waits most calls that may queue for a slot; further ones are rejected
     * @param fallsAt number of queued calls at which the service goes down; 0 for never
     * @param downS how long it is down then
     */
    public record RecordsService(int slots, double workMs, int waits, int fallsAt, double downS) {}

    /**
     * An operation that clients invoke.
     *
     * @param share weight of the operation among all requests
     * @param spread standard deviation of the logarithm of its work
     * @param repeats share of the failed keyed requests that the client sends again with the same
     *     token
     * @param backS longest time until it does
     */
    public record Operation(
            String name,
            double share,
            String effect,
            double workMs,
            double spread,
            boolean calls,
            double objectiveMs,
            double timeoutMs,
            double value,
            double lateShare,
            double windowMs,
            double kb,
            double repeats,
            double backS) {}

    /**
     * The arrival process of requests.
     *
     * @param callers number of clients; each uses one gateway
     * @param skew share of all requests that the first tenth of the clients sends on top of its
     *     even share
     */
    public record Traffic(double perSecond, int callers, double skew) {}

    /**
     * A fault or a change of load.
     *
     * @param what its kind
     * @param share share of the servers that it affects; of the gateways for a retry storm
     * @param strength factor of a slowdown or of the arrival rate, or share of failing runs
     */
    public record Incident(double atS, double forS, String what, double share, double strength) {}

    /** Expected results; a number is zero if it is not bounded. */
    public record Expectations(double valueShare, double p99Ms, boolean rules) {}

    /** Selects an operation by its share, for a position from 0 to 1 in the sum of all shares. */
    public Operation operationAt(double position) {
        double remaining = position * operations.stream().mapToDouble(Operation::share).sum();
        for (Operation each : operations) {
            remaining -= each.share;
            if (remaining < 0) {
                return each;
            }
        }
        return operations.get(operations.size() - 1);
    }

    /** Multiplies the numbers of servers, gateways, clients, requests and records service slots. */
    public Scenario scaledBy(double factor) {
        Fleet f = fleet;
        Gateways g = gateways;
        return new Scenario(
                name,
                seconds,
                new Fleet(
                        (int) Math.round(f.boxes * factor),
                        f.cores,
                        f.memoryKb,
                        f.runFactor,
                        f.keyKb,
                        f.crowd,
                        f.loss,
                        f.fallsAt,
                        f.coldShare,
                        f.coldS,
                        f.bootS,
                        f.readMs,
                        f.graceS,
                        f.stopS,
                        f.remembers,
                        f.forceMs),
                network,
                new Gateways(
                        Math.max(1, (int) Math.round(g.count * factor)),
                        g.choice,
                        g.tries,
                        g.tryMs,
                        g.pauseMs,
                        g.heeds,
                        g.listS,
                        g.healthMs),
                new RecordsService(
                        Math.max(1, (int) Math.round(ledger.slots * factor)),
                        ledger.workMs,
                        (int) Math.round(ledger.waits * factor),
                        (int) Math.round(ledger.fallsAt * factor),
                        ledger.downS),
                operations,
                new Traffic(
                        traffic.perSecond * factor,
                        Math.max(1, (int) Math.round(traffic.callers * factor)),
                        traffic.skew),
                incidents,
                expect,
                settings);
    }

    /** Returns this scenario with other incidents. */
    public Scenario withIncidents(List<Incident> other) {
        return new Scenario(
                name,
                seconds,
                fleet,
                network,
                gateways,
                ledger,
                operations,
                traffic,
                List.copyOf(other),
                expect,
                settings);
    }
}
