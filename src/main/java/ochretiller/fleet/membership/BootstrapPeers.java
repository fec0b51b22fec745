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
 * Chooses the peers whose addresses a server stores for its next start: some of those that it has
 * seen, from as many zones as there are. Its configured seeds may all be gone by then, while others
 * are still there.
 *
 * <p>Fed with snapshots of the view; the caller stores what {@link #takeDue} returns. Not
 * thread-safe.
 */
public final class BootstrapPeers {
    /**
     * Addresses that are stored: one that is alive is enough, and so many do not all move at once.
     */
    public static final int MAX_PEERS = 32;

    /** Time between two lists that are stored. */
    private static final Duration STORE_INTERVAL = Duration.ofSeconds(10);

    /** Time until the first: a fleet that starts would else store a list for each newcomer. */
    private static final Duration FIRST_STORE = Duration.ofSeconds(1);

    private final PeerAddress self;
    private final Map<PeerAddress, Candidate> candidates = new HashMap<>();
    private Set<PeerAddress> stored;
    private Duration nextStore = FIRST_STORE;

    /** A peer that may be stored; {@code lastSeen} counts for those that are not live. */
    private record Candidate(String zone, boolean isLive, Duration lastSeen) {}

    /**
     * Starts from what a previous process has stored.
     *
     * @param self this server's own address, which is never stored
     * @param previous the best first; they count as gone until they are seen
     */
    public BootstrapPeers(PeerAddress self, List<PeerAddress> previous) {
        this.self = self;
        this.stored = Set.copyOf(previous);
        for (PeerAddress address : previous) {
            if (candidates.size() < MAX_PEERS && !address.equals(self)) {
                candidates.put(address, new Candidate("", false, Duration.ZERO));
            }
        }
    }

    /** Takes the present view. Peers that are no longer live stay while nobody better is known. */
    public void observe(Collection<MemberSnapshot> view, Duration now) {
        candidates.replaceAll((address, known) -> new Candidate(known.zone, false, known.lastSeen));
        for (MemberSnapshot snapshot : view) {
            Member member = snapshot.member();
            boolean isOwn = snapshot.isSelf() || member.address().equals(self);
            if (!isOwn && member.state().isLive()) {
                candidates.put(member.address(), new Candidate(member.zone(), true, now));
            }
        }
        if (candidates.size() > MAX_PEERS) {
            candidates.keySet().retainAll(Set.copyOf(chooseBest()));
        }
    }

    /** The list to store now; empty if it is stored already or another was stored lately. */
    public Optional<List<PeerAddress>> takeDue(Duration now) {
        if (now.compareTo(nextStore) < 0) {
            return Optional.empty();
        }
        List<PeerAddress> best = chooseBest();
        if (Set.copyOf(best).equals(stored)) {
            return Optional.empty();
        }
        nextStore = now.plus(STORE_INTERVAL);
        stored = Set.copyOf(best);
        return Optional.of(best);
    }

    /** Live peers, the zones in turn, then those that were seen last. */
    private List<PeerAddress> chooseBest() {
        // Those that are stored already come first: the list need not change for others as good.
        Comparator<PeerAddress> storedFirst =
                Comparator.comparing((PeerAddress address) -> !stored.contains(address))
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
        Set<PeerAddress> best = new LinkedHashSet<>(takeInTurn(liveByZone.values()));
        gone.stream().limit(MAX_PEERS - best.size()).forEach(best::add);
        return List.copyOf(best);
    }

    /** The first of each list, then the second of each, until there are enough. */
    private static List<PeerAddress> takeInTurn(Collection<List<PeerAddress>> zones) {
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
