package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Whom a server should know when it starts again: a few of those that it saw, from as many zones as
 * there are. Its seeds may all be away by then, and whoever was there before may still be.
 */
public final class BootstrapPeers {
    /**
     * Addresses that are kept: any one that is alive is enough, and so many do not all move at
     * once.
     */
    public static final int MAX_PEERS = 32;

    /**
     * Time between two that are kept, and how much sooner the first is: a fleet that starts would
     * else be written at each newcomer.
     */
    private static final Duration EVERY = Duration.ofSeconds(10);

    private static final Duration FIRST = Duration.ofSeconds(1);

    private final PeerAddress self;
    private final Map<PeerAddress, Known> known = new HashMap<>();
    private Set<PeerAddress> kept;
    private Duration next = FIRST;

    private record Known(String zone, boolean there, Duration since) {}

    /**
     * @param former what a former process has kept, the best first; they count as gone until they
     *     are seen
     */
    public BootstrapPeers(PeerAddress self, List<PeerAddress> former) {
        this.self = self;
        this.kept = Set.copyOf(former);
        for (PeerAddress each : former) {
            if (known.size() < MAX_PEERS && !each.equals(self)) {
                known.put(each, new Known("", false, Duration.ZERO));
            }
        }
    }

    /**
     * What is seen now. Who was seen before and no longer is stays, as long as nobody better takes
     * its place.
     */
    public void observe(Collection<MemberSnapshot> view, Duration now) {
        Map<PeerAddress, Known> live = new HashMap<>();
        for (MemberSnapshot each : view) {
            Member member = each.member();
            if (each.isSelf() || member.address().equals(self) || !member.state().isLive()) {
                continue;
            }
            live.put(member.address(), new Known(member.zone(), true, now));
        }
        known.replaceAll((address, each) -> new Known(each.zone, false, each.since));
        known.putAll(live);
        if (known.size() <= MAX_PEERS) {
            return;
        }
        known.keySet().retainAll(Set.copyOf(best()));
    }

    /** The best of them: those that are there, the zones in turn, then those that went last. */
    private List<PeerAddress> best() {
        Map<String, List<PeerAddress>> zones = new TreeMap<>();
        List<PeerAddress> gone = new ArrayList<>();
        known.forEach(
                (address, each) ->
                        (each.there
                                        ? zones.computeIfAbsent(
                                                each.zone, ignored -> new ArrayList<>())
                                        : gone)
                                .add(address));
        // Those that are kept already come first: the file need not change because others are as
        // good.
        Comparator<PeerAddress> order =
                Comparator.comparing((PeerAddress each) -> !kept.contains(each))
                        .thenComparing(PeerAddress::toString);
        zones.values().forEach(each -> each.sort(order));
        gone.sort(
                Comparator.comparing((PeerAddress each) -> known.get(each).since)
                        .reversed()
                        .thenComparing(order));
        Set<PeerAddress> best = new LinkedHashSet<>();
        for (int turn = 0; best.size() < MAX_PEERS; turn++) {
            boolean more = false;
            for (List<PeerAddress> zone : zones.values()) {
                if (turn >= zone.size() || best.size() == MAX_PEERS) {
                    continue;
                }
                best.add(zone.get(turn));
                more = true;
            }
            if (!more) {
                break;
            }
        }
        for (PeerAddress each : gone) {
            if (best.size() < MAX_PEERS) {
                best.add(each);
            }
        }
        return List.copyOf(best);
    }

    /** What to keep now, or null where that is kept already or was changed just before. */
    public List<PeerAddress> takeDue(Duration now) {
        if (now.compareTo(next) < 0) {
            return null;
        }
        List<PeerAddress> best = best();
        if (Set.copyOf(best).equals(kept)) {
            return null;
        }
        next = now.plus(EVERY);
        kept = Set.copyOf(best);
        return best;
    }
}
