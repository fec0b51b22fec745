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
 * An acceptor's part in a rollout: grants leases by the servers' reports, fences off stragglers and
 * carries a rollout from stage to stage. On the event loop.
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
                        settings.stageTimeout(),
                        settings.rollsBackAutomatically());
        witness = new AuditWitness(context.serverName(), activator);
    }

    /** Takes a placement that has been committed. */
    void adoptPlacement(ReplicaPlacement committed, Duration now) {
        leaseGrantor.adoptPlacement(committed, now);
    }

    /** Takes a server's report and returns whether its lease is granted. */
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

    /** Forgets the reports of servers that are gone. */
    void observeLiveServers(Set<String> live) {
        reports.keySet().retainAll(live);
        fencedServersGauge = leaseGrantor.fencedServers().size();
    }

    /** Returns the next state of the rollout, if it is to change. */
    Optional<RolloutState> nextState(ReplicaPlacement committed, Set<String> live, Duration now) {
        return controller.nextState(committed, live, now);
    }

    /** Returns the last report of each server, sorted by name. */
    Map<String, VersionReport> reports() {
        return new TreeMap<>(reports);
    }

    boolean isFenced(String server) {
        return leaseGrantor.fencedServers().contains(server);
    }

    /** Returns why the rollout was halted, or an empty text. */
    String haltReason() {
        return controller.haltReason();
    }

    /** Returns how many servers are fenced off. From any thread. */
    int fencedServersGauge() {
        return fencedServersGauge;
    }
}
