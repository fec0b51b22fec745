package ochretiller.emulator.scenario;

import java.util.List;
import java.util.Map;

/**
 * What is played. Times are seconds since the start unless they say otherwise.
 *
 * @param seconds how long callers ask; what is open then is played to its end
 * @param settings values that go over those derived from the fleet, by the names of the simulator's
 *     wire
 */
public record Scenario(
        String name,
        double seconds,
        Fleet fleet,
        Network network,
        Gateways gateways,
        Ledger ledger,
        List<Operation> operations,
        Traffic traffic,
        List<Incident> incidents,
        Expect expect,
        Map<String, String> settings) {
    /**
     * The boxes.
     *
     * @param crowd runs a core up to which nothing is lost
     * @param loss share of the speed that is lost for each further {@code crowd}
     * @param fallsAt runs a core at which a box dies of its crowd
     * @param coldShare speed of a box that has just been started
     * @param coldS time until it is warm
     * @param bootS time from a start to serving
     * @param readMs core time that reading one invocation takes
     * @param remembers marks and results outlive a restart
     * @param forceMs time that the disk takes to make a mark or a result durable
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

    public record Network(double delayMs, double jitterMs) {}

    /**
     * Whoever chooses a box.
     *
     * @param choice random, turns, least or two
     * @param tries for one invocation; 0 for as many as its time allows
     * @param tryMs time-out of one try; 0 for what is left
     * @param pauseMs pause in front of a further try
     * @param heeds share of them that heed advice
     * @param listS how late they learn which boxes there are
     * @param healthMs how often they look at health
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
     * The records service that calls go to.
     *
     * @param waits calls that it lets wait; further ones are turned away
     * @param fallsAt calls that wait at which it falls over; 0 for never
     * @param downS time that it is down then
     */
    public record Ledger(int slots, double workMs, int waits, int fallsAt, double downS) {}

    /**
     * A kind of work.
     *
     * @param share of all arrivals, among the other shares
     * @param spread spread of the logarithm of its work
     * @param repeats share of callers of a keyed one that gave up and come back
     * @param backS longest time until they do
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
     * Arrivals.
     *
     * @param callers how many there are; each comes through one gateway
     * @param skew part of all arrivals that the first tenth of callers makes, beyond its even part
     */
    public record Traffic(double perSecond, int callers, double skew) {}

    /**
     * One that happens.
     *
     * @param what its kind
     * @param share part of the boxes (or of the gateways, for a cut) that it takes
     * @param strength times slower, times the rate, or what its kind says
     */
    public record Incident(double atS, double forS, String what, double share, double strength) {}

    /** What is to come out; what is not asked for is zero, or no bound. */
    public record Expect(double valueShare, double p99Ms, boolean rules) {}

    /** The operation at this part of all shares, 0 to 1. */
    public Operation at(double part) {
        double left = part * operations.stream().mapToDouble(Operation::share).sum();
        for (Operation each : operations) {
            left -= each.share;
            if (left < 0) {
                return each;
            }
        }
        return operations.get(operations.size() - 1);
    }

    /** As many times the boxes, gateways, callers, arrivals and slots. */
    public Scenario scaled(double times) {
        Fleet f = fleet;
        Gateways g = gateways;
        return new Scenario(
                name,
                seconds,
                new Fleet(
                        (int) Math.round(f.boxes * times),
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
                        Math.max(1, (int) Math.round(g.count * times)),
                        g.choice,
                        g.tries,
                        g.tryMs,
                        g.pauseMs,
                        g.heeds,
                        g.listS,
                        g.healthMs),
                new Ledger(
                        Math.max(1, (int) Math.round(ledger.slots * times)),
                        ledger.workMs,
                        (int) Math.round(ledger.waits * times),
                        (int) Math.round(ledger.fallsAt * times),
                        ledger.downS),
                operations,
                new Traffic(
                        traffic.perSecond * times,
                        Math.max(1, (int) Math.round(traffic.callers * times)),
                        traffic.skew),
                incidents,
                expect,
                settings);
    }

    public Scenario with(List<Incident> other) {
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
