package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Chooses the peers whose addresses a server stores for its next start, spread over all zones. By
 * then the configured seeds may all be gone while other peers are still up.
 *
 * <p>The caller passes in snapshots of the view and stores the list that {@link #takeListToStore}
 * returns. Not thread-safe.
 */
public final class BootstrapPeers {
    /** Maximum stored addresses. One live peer is enough; so many rarely change address at once. */
    public static final int MAX_PEERS = 32;

    /** Minimum time between two lists to store. */
    private static final Duration STORE_INTERVAL = Duration.ofSeconds(10);

    /** Delay of the first list, so that a starting fleet does not store one per new member. */
    private static final Duration FIRST_STORE_DELAY = Duration.ofSeconds(1);

    private final PeerAddress self;
    private final Map<PeerAddress, Candidate> candidates = new HashMap<>();
    private Set<PeerAddress> storedPeers;
    private Duration nextStore = FIRST_STORE_DELAY;

    /** A peer that may be stored; {@code lastSeen} ranks those that are not live. */
    private record Candidate(String zone, boolean isLive, Duration lastSeen) {}

    /**
     * Creates a chooser that starts from the list stored by a previous process.
     *
     * @param self this server's own address, which is never stored
     * @param previous the stored list, best first; its peers count as gone until seen
     */
    public BootstrapPeers(PeerAddress self, List<PeerAddress> previous) {
        this.self = self;
        this.storedPeers = Set.copyOf(previous);
        for (PeerAddress address : previous) {
            if (candidates.size() < MAX_PEERS && !address.equals(self)) {
                candidates.put(address, new Candidate("", false, Duration.ZERO));
            }
        }
    }

    /** Processes the current view. Peers no longer live remain until better ones replace them. */
    public void observe(Collection<MemberSnapshot> view, Duration now) {
        candidates.replaceAll((address, peer) -> new Candidate(peer.zone, false, peer.lastSeen));
        for (MemberSnapshot snapshot : view) {
            Member member = snapshot.member();
            boolean isThisServer = snapshot.isSelf() || member.address().equals(self);
            if (!isThisServer && member.state().isLive()) {
                candidates.put(member.address(), new Candidate(member.zone(), true, now));
            }
        }
        if (candidates.size() > MAX_PEERS) {
            candidates.keySet().retainAll(Set.copyOf(chooseBest()));
        }
    }

    /** The list to store now; empty if it is unchanged or the last one was stored recently. */
    public Optional<List<PeerAddress>> takeListToStore(Duration now) {
        if (now.compareTo(nextStore) < 0) {
            return Optional.empty();
        }
        List<PeerAddress> best = chooseBest();
        if (Set.copyOf(best).equals(storedPeers)) {
            return Optional.empty();
        }
        nextStore = now.plus(STORE_INTERVAL);
        storedPeers = Set.copyOf(best);
        return Optional.of(best);
    }

    /** Live peers, alternating between zones, then gone ones, the most recently seen first. */
    private List<PeerAddress> chooseBest() {
        // Prefer peers that are stored already, so that equally good ones cause no rewrite.
        Comparator<PeerAddress> storedFirst =
                Comparator.comparing((PeerAddress address) -> !storedPeers.contains(address))
                        .thenComparing(PeerAddress::toString);
        Map<String, List<PeerAddress>> liveByZone = new TreeMap<>();
        List<PeerAddress> gone = new ArrayList<>();
        candidates.forEach(
                (address, candidate) -> {
                    if (candidate.isLive) {
                        liveByZone
                                .computeIfAbsent(candidate.zone, zone -> new ArrayList<>())
                                .add(address);
                    } else {
                        gone.add(address);
                    }
                });
        liveByZone.values().forEach(zone -> zone.sort(storedFirst));
        gone.sort(
                Comparator.comparing((PeerAddress address) -> candidates.get(address).lastSeen)
                        .reversed()
                        .thenComparing(storedFirst));
        Set<PeerAddress> best = new LinkedHashSet<>(interleave(liveByZone.values()));
        gone.stream().limit(MAX_PEERS - best.size()).forEach(best::add);
        return List.copyOf(best);
    }

    /** The first address of each list, then the second of each, up to {@link #MAX_PEERS}. */
    private static List<PeerAddress> interleave(Collection<List<PeerAddress>> zones) {
        List<PeerAddress> taken = new ArrayList<>();
        int longest = zones.stream().mapToInt(List::size).max().orElse(0);
        for (int index = 0; index < longest; index++) {
            for (List<PeerAddress> zone : zones) {
                if (index < zone.size() && taken.size() < MAX_PEERS) {
                    taken.add(zone.get(index));
                }
            }
        }
        return taken;
    }
}
