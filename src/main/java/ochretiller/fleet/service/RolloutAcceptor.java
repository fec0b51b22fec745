package ochretiller.fleet.service;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.rollout.LeaseGrantor;
import ochretiller.fleet.rollout.RolloutController;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.fleet.rollout.VersionReport;

/**
 * Runs an acceptor's part in a rollout: grants leases according to the servers' reports, fences
 * stragglers and advances the rollout from stage to stage. Confined to the event loop.
 */
final class RolloutAcceptor {
    private final LeaseGrantor leaseGrantor;
    private final RolloutController controller;
    private final AuditWitness witness;
    private final Map<String, VersionReport> reports = new HashMap<>();
    private volatile int fencedServersGauge;

    RolloutAcceptor(FleetContext context, RolloutSettings settings, VersionActivator activator) {
        leaseGrantor = new LeaseGrantor(settings.fencingGrace(), context.random());
        controller =
                new RolloutController(
                        settings.observationTime(),
                        settings.activationTimeout(),
                        settings.rollsBackAutomatically());
        witness = new AuditWitness(context.serverName(), activator);
    }

    /** Adopts a committed placement. */
    void adoptPlacement(ReplicaPlacement committed, Duration now) {
        leaseGrantor.adoptPlacement(committed, now);
    }

    /** Handles a server's report and returns whether its lease is renewed. */
    boolean receiveReport(
            String server,
            RolloutMessage.StatusReport status,
            ReplicaPlacement placement,
            PublishedVersion active,
            Duration now) {
        witness.witness(server, status, active, now);
        controller.recordReport(server, status.report());
        reports.put(server, status.report());
        return leaseGrantor.renew(placement, server, reports, now);
    }

    /** Removes the reports of servers that are not live and updates the gauge. */
    void observeLiveServers(Set<String> live) {
        reports.keySet().retainAll(live);
        fencedServersGauge = leaseGrantor.fencedServers().size();
    }

    /** Returns the next state of the rollout, or empty if it must not change now. */
    Optional<RolloutState> nextState(ReplicaPlacement committed, Set<String> live, Duration now) {
        return controller.nextState(committed, live, now);
    }

    /** Returns the latest report of each live server, sorted by name. */
    Map<String, VersionReport> reports() {
        return new TreeMap<>(reports);
    }

    boolean isFenced(String server) {
        return leaseGrantor.fencedServers().contains(server);
    }

    /** Returns why the rollout was halted or rolled back, or an empty string. */
    String haltReason() {
        return controller.haltReason();
    }

    /** Returns the number of fenced servers. Callable from any thread. */
    int fencedServersGauge() {
        return fencedServersGauge;
    }
}
