package ochretiller.fleet.service;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.metrics.Metrics;
import ochretiller.net.Scheduler;

/**
 * Dependencies that the fleet services of one server share. Confined to the event loop.
 *
 * @param scheduler the event loop and its clock
 * @param serverName name of this server in the fleet
 * @param random source of random numbers, seeded by tests
 * @param metrics registry for the services' metrics
 * @param sender sends messages to other servers
 * @param view returns the current membership view
 */
record FleetContext(
        Scheduler scheduler,
        String serverName,
        RandomGenerator random,
        Metrics metrics,
        PeerSender sender,
        Supplier<List<MemberSnapshot>> view) {
    /** Returns the names of the servers that are live in the membership view. */
    Set<String> liveServers() {
        Set<String> live = new HashSet<>();
        for (MemberSnapshot each : view.get()) {
            if (each.member().state().isLive()) {
                live.add(each.member().id().name());
            }
        }
        return live;
    }
}
