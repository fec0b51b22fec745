package ochretiller.fleet.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Decides which placement an acceptor proposes next: one change at a time, and only for servers
 * whose liveness has been stable for a while. The liveness comes from the local membership view and
 * may be wrong, but the change takes effect only by consensus, and a removed server that returns is
 * added again. Not thread-safe.
 */
public final class PlacementPlanner {
    /** Settling times after which a departed server is removed, as it may return with its disk. */
    private static final int DEPARTURE_FACTOR = 4;

    private final Duration settlingTime;
    private final Duration maxWindow;
    private final int minServers;
    private final Map<String, Presence> presences = new HashMap<>();
    private final Map<String, ConsensusMessage.ReplicaProgress> progress = new HashMap<>();
    private Optional<Long> observedEpoch = Optional.empty();
    private Duration epochSince = Duration.ZERO;

    /** Whether a server is live, and since when. */
    private record Presence(boolean isLive, Duration since) {}

    /**
     * Creates a planner without observations.
     *
     * @param settlingTime how long a server must be live before it is added; a server is removed
     *     only after it has been gone for four times as long
     * @param maxWindow the longest idempotency window; entries missing from a replica for longer
     *     have expired
     * @param minServers no server is removed from a placement of this size or smaller, since
     *     departed servers may hold the only replicas
     */
    public PlacementPlanner(Duration settlingTime, Duration maxWindow, int minServers) {
        this.settlingTime = settlingTime;
        this.maxWindow = maxWindow;
        this.minServers = minServers;
    }

    /**
     * Processes the current membership view.
     *
     * @param liveness whether each known server is live, by name
     */
    public void observe(Map<String, Boolean> liveness, Duration now) {
        liveness.forEach(
                (name, isLive) -> {
                    Presence previous = presences.get(name);
                    if (previous == null || previous.isLive != isLive) {
                        presences.put(name, new Presence(isLive, now));
                    }
                });
        presences.keySet().retainAll(liveness.keySet());
        progress.keySet().retainAll(liveness.keySet());
    }

    /** Records a replica's progress report; ignored for unknown servers. */
    public void recordProgress(String name, ConsensusMessage.ReplicaProgress report) {
        if (presences.containsKey(name)) {
            progress.put(name, report);
        }
    }

    /**
     * The placement to propose next; empty if no change is needed or allowed yet.
     *
     * @param current the committed placement
     * @param candidates servers that may hold replicas
     */
    public Optional<ReplicaPlacement> nextPlacement(
            ReplicaPlacement current, List<ReplicaServer> candidates, Duration now) {
        observeEpoch(current, now);
        if (!current.servers().isEmpty() && !mayChange(current, now)) {
            return Optional.empty();
        }
        // Add servers before removing any, as a removal takes replicas away.
        Optional<ReplicaPlacement> larger = withNewServer(current, candidates, now);
        return larger.isPresent() ? larger : withoutDeparted(current, now);
    }

    private void observeEpoch(ReplicaPlacement current, Duration now) {
        Optional<Long> epoch = Optional.of(current.epoch());
        if (!epoch.equals(observedEpoch)) {
            observedEpoch = epoch;
            epochSince = now;
        }
    }

    /**
     * Whether the last change is complete or older than the longest window. The ranges that it
     * moved must be copied before the next change, which might otherwise remove their only source.
     */
    private boolean mayChange(ReplicaPlacement current, Duration now) {
        Duration age = now.minus(epochSince);
        boolean isSettled = age.compareTo(settlingTime) >= 0;
        return isSettled && (isComplete(current) || age.compareTo(maxWindow) >= 0);
    }

    /** Whether all live servers have reported that all their ranges of this epoch are complete. */
    private boolean isComplete(ReplicaPlacement current) {
        return current.servers().stream()
                .map(ReplicaServer::name)
                .filter(this::isLive)
                .allMatch(name -> hasCaughtUp(name, current.epoch()));
    }

    private boolean isLive(String name) {
        Presence presence = presences.get(name);
        return presence != null && presence.isLive;
    }

    private boolean hasCaughtUp(String name, long epoch) {
        ConsensusMessage.ReplicaProgress report = progress.get(name);
        return report != null && report.epoch() == epoch && report.laggingRanges() <= 0;
    }

    /**
     * Adds a live candidate of the zone with the fewest servers; empty if there is none that fits.
     */
    private Optional<ReplicaPlacement> withNewServer(
            ReplicaPlacement current, List<ReplicaServer> candidates, Duration now) {
        Map<String, Long> serversByZone =
                current.servers().stream()
                        .collect(Collectors.groupingBy(ReplicaServer::zone, Collectors.counting()));
        Comparator<ReplicaServer> fewestInZoneFirst =
                Comparator.comparing(
                        (ReplicaServer server) -> serversByZone.getOrDefault(server.zone(), 0L));
        return candidates.stream()
                .filter(server -> !current.contains(server.name()))
                .filter(server -> isStable(server.name(), true, settlingTime, now))
                .min(fewestInZoneFirst.thenComparing(ReplicaServer::name))
                .map(current::with)
                .filter(ReplicaPlacement::fitsInPacket);
    }

    /** Removes a server that departed long enough ago; empty if there is none or too few remain. */
    private Optional<ReplicaPlacement> withoutDeparted(ReplicaPlacement current, Duration now) {
        if (current.servers().size() <= minServers) {
            return Optional.empty();
        }
        Duration departureTime = settlingTime.multipliedBy(DEPARTURE_FACTOR);
        return current.servers().stream()
                .map(ReplicaServer::name)
                .filter(name -> isStable(name, false, departureTime, now))
                .findFirst()
                .map(current::without);
    }

    private boolean isStable(String name, boolean isLive, Duration span, Duration now) {
        Presence presence = presences.get(name);
        return presence != null
                && presence.isLive == isLive
                && now.minus(presence.since).compareTo(span) >= 0;
    }
}
