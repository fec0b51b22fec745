package ochretiller.fleet.members;

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
public final class Acquaintances {
    /**
     * Addresses that are kept: any one that is alive is enough, and so many do not all move at
     * once.
     */
    public static final int MOST = 32;

    /**
     * Time between two that are kept, and how much sooner the first is: a fleet that starts would
     * else be written at each newcomer.
     */
    private static final Duration EVERY = Duration.ofSeconds(10);

    private static final Duration FIRST = Duration.ofSeconds(1);

    private final Address self;
    private final Map<Address, Known> known = new HashMap<>();
    private Set<Address> kept;
    private Duration next = FIRST;

    private record Known(String zone, boolean there, Duration since) {}

    /**
     * @param former what a former process has kept, the best first; they count as gone until they
     *     are seen
     */
    public Acquaintances(Address self, List<Address> former) {
        this.self = self;
        this.kept = Set.copyOf(former);
        for (Address each : former) {
            if (known.size() < MOST && !each.equals(self)) {
                known.put(each, new Known("", false, Duration.ZERO));
            }
        }
    }

    /**
     * What is seen now. Who was seen before and no longer is stays, as long as nobody better takes
     * its place.
     */
    public void met(Collection<Seen> view, Duration now) {
        Map<Address, Known> live = new HashMap<>();
        for (Seen each : view) {
            Member member = each.member();
            if (each.self() || member.address().equals(self) || !member.state().live()) {
                continue;
            }
            live.put(member.address(), new Known(member.zone(), true, now));
        }
        known.replaceAll((address, each) -> new Known(each.zone, false, each.since));
        known.putAll(live);
        if (known.size() <= MOST) {
            return;
        }
        known.keySet().retainAll(Set.copyOf(best()));
    }

    /** The best of them: those that are there, the zones in turn, then those that went last. */
    private List<Address> best() {
        Map<String, List<Address>> zones = new TreeMap<>();
        List<Address> gone = new ArrayList<>();
        known.forEach(
                (address, each) ->
                        (each.there
                                        ? zones.computeIfAbsent(
                                                each.zone, ignored -> new ArrayList<>())
                                        : gone)
                                .add(address));
        // Those that are kept already come first: the file need not change because others are as
        // good.
        Comparator<Address> order =
                Comparator.comparing((Address each) -> !kept.contains(each))
                        .thenComparing(Address::toString);
        zones.values().forEach(each -> each.sort(order));
        gone.sort(
                Comparator.comparing((Address each) -> known.get(each).since)
                        .reversed()
                        .thenComparing(order));
        Set<Address> best = new LinkedHashSet<>();
        for (int turn = 0; best.size() < MOST; turn++) {
            boolean more = false;
            for (List<Address> zone : zones.values()) {
                if (turn >= zone.size() || best.size() == MOST) {
                    continue;
                }
                best.add(zone.get(turn));
                more = true;
            }
            if (!more) {
                break;
            }
        }
        for (Address each : gone) {
            if (best.size() < MOST) {
                best.add(each);
            }
        }
        return List.copyOf(best);
    }

    /** What to keep now, or null where that is kept already or was changed just before. */
    public List<Address> due(Duration now) {
        if (now.compareTo(next) < 0) {
            return null;
        }
        List<Address> best = best();
        if (Set.copyOf(best).equals(kept)) {
            return null;
        }
        next = now.plus(EVERY);
        kept = Set.copyOf(best);
        return best;
    }
}
