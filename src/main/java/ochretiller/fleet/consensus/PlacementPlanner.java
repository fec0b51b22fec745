package ochretiller.fleet.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Which epoch a voter wishes for, from what it sees: one change at a time, and only of what has
 * stood for a while. A view is an opinion; what follows from it is agreed on, and a keeper that
 * comes back is taken in again.
 */
public final class PlacementPlanner {
    /**
     * A server that is gone is given so many times as long to come back as one that comes is
     * watched: its disk comes back with it.
     */
    private static final int PATIENCE = 4;

    private final Duration calm;
    private final Duration longest;
    private final int fewest;
    private final Map<String, ConsensusMessage.ReplicaProgress> standing = new HashMap<>();
    private final Map<String, Duration> since = new HashMap<>();
    private final Map<String, Boolean> there = new HashMap<>();
    private long epoch = -1;
    private Duration epochSince = Duration.ZERO;

    /**
     * @param calm how long a server has to be there before anything follows from it; one that is
     *     gone, four times as long
     * @param longest the longest window: behind it nothing that is not whole can matter
     * @param fewest keepers that are left in any case: whom nobody sees may still have the only
     *     copies
     */
    public PlacementPlanner(Duration calm, Duration longest, int fewest) {
        this.calm = calm;
        this.longest = longest;
        this.fewest = fewest;
    }

    /** What the view says now of all that it knows. */
    public void observe(Map<String, Boolean> view, Duration now) {
        view.forEach(
                (name, is) -> {
                    if (!is.equals(there.put(name, is))) {
                        since.put(name, now);
                    }
                });
        there.keySet().retainAll(view.keySet());
        since.keySet().retainAll(view.keySet());
        standing.keySet().retainAll(view.keySet());
    }

    /** How far a keeper says to be. */
    public void recordProgress(String name, ConsensusMessage.ReplicaProgress word) {
        if (there.containsKey(name)) {
            standing.put(name, word);
        }
    }

    private boolean calmly(String name, boolean is, Duration now) {
        Duration wait = is ? calm : calm.multipliedBy(PATIENCE);
        return Boolean.valueOf(is).equals(there.get(name))
                && now.minus(since.get(name)).compareTo(wait) >= 0;
    }

    /** Whether all that the last epoch has moved is where it belongs, at those who can say so. */
    private boolean whole(ReplicaPlacement layout) {
        for (ReplicaPlacement.ReplicaServer each : layout.servers()) {
            if (!Boolean.TRUE.equals(there.get(each.name()))) {
                continue;
            }
            ConsensusMessage.ReplicaProgress word = standing.get(each.name());
            if (word == null || word.epoch() != layout.epoch() || word.laggingRanges() > 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * The next layout, or none where the one in force is good. Newcomers come first: who leaves
     * takes copies along.
     */
    public Optional<ReplicaPlacement> nextPlacement(
            ReplicaPlacement now, List<ReplicaPlacement.ReplicaServer> servers, Duration time) {
        if (now.epoch() != epoch) {
            epoch = now.epoch();
            epochSince = time;
        }
        // One change at a time: what the last one moved is to be whole before the next, or there
        // would be nobody to fetch it from.
        Duration stood = time.minus(epochSince);
        if (!now.servers().isEmpty()
                && (stood.compareTo(calm) < 0 || !whole(now) && stood.compareTo(longest) < 0)) {
            return Optional.empty();
        }
        // Zones with the fewest keepers first: where not all servers can be keepers, no zone is to
        // have most of them.
        Map<String, Long> inZone =
                now.servers().stream()
                        .collect(
                                Collectors.groupingBy(
                                        ReplicaPlacement.ReplicaServer::zone,
                                        Collectors.counting()));
        Optional<ReplicaPlacement.ReplicaServer> newcomer =
                servers.stream()
                        .filter(
                                each ->
                                        !now.contains(each.name())
                                                && calmly(each.name(), true, time))
                        .min(
                                Comparator.comparing(
                                                (ReplicaPlacement.ReplicaServer each) ->
                                                        inZone.getOrDefault(each.zone(), 0L))
                                        .thenComparing(ReplicaPlacement.ReplicaServer::name));
        // Guards against a list that no packet takes: the rest are served by those who keep, and
        // take the place of one that is gone.
        Optional<ReplicaPlacement> more =
                newcomer.map(now::with).filter(ReplicaPlacement::fitsInPacket);
        if (more.isPresent()) {
            return more;
        }
        if (now.servers().size() <= fewest) {
            return Optional.empty();
        }
        return now.servers().stream()
                .filter(each -> calmly(each.name(), false, time))
                .findFirst()
                .map(gone -> now.without(gone.name()));
    }
}
