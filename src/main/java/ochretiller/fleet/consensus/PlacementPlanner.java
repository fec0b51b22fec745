package ochretiller.fleet.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Decides which placement an acceptor proposes next, from what it observes: one change at a time,
 * and only from what has been so for a while. Observations are opinions; what follows from them is
 * agreed on, and a server that comes back is taken in again.
 *
 * <p>Owned by one thread.
 */
public final class PlacementPlanner {
    /** Departed servers get so many times the settling time: their disks come back with them. */
    private static final int DEPARTURE_FACTOR = 4;

    private final Duration settlingTime;
    private final Duration maxWindow;
    private final int minServers;
    private final Map<String, Presence> presences = new HashMap<>();
    private final Map<String, ConsensusMessage.ReplicaProgress> progress = new HashMap<>();
    private Optional<Long> observedEpoch = Optional.empty();
    private Duration epochSince = Duration.ZERO;

    /** Whether a server is live, and since when that has been so. */
    private record Presence(boolean isLive, Duration since) {}

    /**
     * A planner that has observed nothing yet.
     *
     * @param settlingTime how long a server has to be live before anything follows from it; one
     *     that departed, four times as long
     * @param maxWindow the longest idempotency window: behind it no entry that a replica lacks can
     *     matter
     * @param minServers servers that stay in any case: those that nobody sees may hold the only
     *     replicas
     */
    public PlacementPlanner(Duration settlingTime, Duration maxWindow, int minServers) {
        this.settlingTime = settlingTime;
        this.maxWindow = maxWindow;
        this.minServers = minServers;
    }

    /**
     * Takes the present view.
     *
     * @param liveness of all servers that it knows, by name
     */
    public void observe(Map<String, Boolean> liveness, Duration now) {
        liveness.forEach(
                (name, isLive) -> {
                    Presence known = presences.get(name);
                    if (known == null || known.isLive != isLive) {
                        presences.put(name, new Presence(isLive, now));
                    }
                });
        presences.keySet().retainAll(liveness.keySet());
        progress.keySet().retainAll(liveness.keySet());
    }

    /** Takes what a replica reports of how far it has caught up. */
    public void recordProgress(String name, ConsensusMessage.ReplicaProgress report) {
        if (presences.containsKey(name)) {
            progress.put(name, report);
        }
    }

    /**
     * The placement to propose next; empty if the present one is good.
     *
     * @param current the committed one
     * @param candidates servers that may hold replicas
     */
    public Optional<ReplicaPlacement> nextPlacement(
            ReplicaPlacement current, List<ReplicaServer> candidates, Duration now) {
        observeEpoch(current, now);
        if (!current.servers().isEmpty() && !mayChange(current, now)) {
            return Optional.empty();
        }
        // Newcomers first: who goes takes replicas along.
        Optional<ReplicaPlacement> larger = withNewcomer(current, candidates, now);
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
     * Whether the last change is settled: what it moved has to be complete before the next, or
     * there would be nobody to fetch it from.
     */
    private boolean mayChange(ReplicaPlacement current, Duration now) {
        Duration age = now.minus(epochSince);
        boolean isSettled = age.compareTo(settlingTime) >= 0;
        return isSettled && (isComplete(current) || age.compareTo(maxWindow) >= 0);
    }

    /** Whether all servers that are live report all their ranges of this epoch as complete. */
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

    /** Adds a server of the zone with the fewest; empty if there is none or the list is full. */
    private Optional<ReplicaPlacement> withNewcomer(
            ReplicaPlacement current, List<ReplicaServer> candidates, Duration now) {
        Map<String, Long> serversByZone =
                current.servers().stream()
                        .collect(Collectors.groupingBy(ReplicaServer::zone, Collectors.counting()));
        Comparator<ReplicaServer> fewestInZoneFirst =
                Comparator.comparing(
                        (ReplicaServer server) -> serversByZone.getOrDefault(server.zone(), 0L));
        return candidates.stream()
                .filter(server -> !current.contains(server.name()))
                .filter(server -> hasBeen(server.name(), true, settlingTime, now))
                .min(fewestInZoneFirst.thenComparing(ReplicaServer::name))
                .map(current::with)
                .filter(ReplicaPlacement::fitsInPacket);
    }

    /** Removes the first server that has departed for long; empty if there is none to spare. */
    private Optional<ReplicaPlacement> withoutDeparted(ReplicaPlacement current, Duration now) {
        if (current.servers().size() <= minServers) {
            return Optional.empty();
        }
        Duration patience = settlingTime.multipliedBy(DEPARTURE_FACTOR);
        return current.servers().stream()
                .map(ReplicaServer::name)
                .filter(name -> hasBeen(name, false, patience, now))
                .findFirst()
                .map(current::without);
    }

    private boolean hasBeen(String name, boolean isLive, Duration span, Duration now) {
        Presence presence = presences.get(name);
        return presence != null
                && presence.isLive == isLive
                && now.minus(presence.since).compareTo(span) >= 0;
    }
}
