package ochretiller.fleet.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;

/**
 * Whose lease a voter renews: those that act on a version that is in force for them, and for a
 * stated while those that have just come to their turn. Who is behind is let run out; who has
 * caught up is let in again, few at a time.
 */
public final class LeaseGrantor {
    /**
     * Part of the servers that may be shut out: where more are behind, nobody is, since that would
     * be worse than what is behind.
     */
    static final double MAX_FENCED_SHARE = 0.34;

    /** Servers that are let in again in a second. */
    private static final double BACK_RATE = 2;

    private static final double BACK_BURST = 2;

    private final Duration grace;
    private final RandomGenerator chance;
    private final Set<String> fencedServers = new HashSet<>();

    /** What is in force for each server, and since when, as this voter knows. */
    private final Map<String, Turn> turns = new HashMap<>();

    private ReplicaPlacement last;
    private double back = BACK_BURST;
    private Duration backAt = Duration.ZERO;

    private record Turn(PublishedVersion target, Duration since) {}

    /**
     * @param grace how long a server may take to come to act on what is in force for it
     */
    public LeaseGrantor(Duration grace, RandomGenerator chance) {
        this.grace = grace;
        this.chance = chance;
    }

    /** Servers that are shut out. */
    public Set<String> fencedServers() {
        return Set.copyOf(fencedServers);
    }

    /**
     * Whether this server may go on.
     *
     * @param reports what each server that is there has said last, this one among them
     */
    public boolean renew(
            ReplicaPlacement layout,
            String name,
            Map<String, VersionReport> reports,
            Duration now) {
        adoptPlacement(layout, now);
        fencedServers.retainAll(reports.keySet());
        turns.keySet().removeIf(each -> !reports.containsKey(each) && !layout.contains(each));
        int late = 0;
        for (Map.Entry<String, VersionReport> each : reports.entrySet()) {
            if (late(layout, each.getKey(), each.getValue(), now)) {
                late++;
            }
        }
        boolean mine = reports.containsKey(name) && late(layout, name, reports.get(name), now);
        // Of all that there are: a voter that hears few must not take those for the fleet.
        int all = Math.max(reports.size(), layout.servers().size());
        if (mine && late <= Math.max(1, MAX_FENCED_SHARE * all)) {
            fencedServers.add(name);
            return false;
        }
        if (mine || !fencedServers.contains(name)) {
            return true;
        }
        // Guards against all at once: those that were shut out together would come back together.
        back =
                Math.min(
                        BACK_BURST,
                        back + Math.max(0, now.minus(backAt).toNanos() / 1e9) * BACK_RATE);
        backAt = now;
        if (back < 1 || chance.nextInt(2) == 0) {
            return false;
        }
        back--;
        fencedServers.remove(name);
        return true;
    }

    /**
     * This is in force: time counts from here, and not from a server's next word. One that could
     * not be heard meanwhile has had its time.
     */
    public void adoptPlacement(ReplicaPlacement layout, Duration now) {
        if (layout.equals(last)) {
            return;
        }
        last = layout;
        for (ReplicaServer each : layout.servers()) {
            turn(layout, each.name(), now);
        }
        for (String each : Set.copyOf(turns.keySet())) {
            turn(layout, each, now);
        }
    }

    private Turn turn(ReplicaPlacement layout, String name, Duration now) {
        PublishedVersion target = RolloutStages.targetVersion(layout, name);
        return turns.merge(
                name,
                new Turn(target, now),
                (before, next) -> before.target.equals(target) ? before : next);
    }

    private boolean late(ReplicaPlacement layout, String name, VersionReport report, Duration now) {
        Turn turn = turn(layout, name, now);
        return RolloutController.isBehind(report, turn.target)
                && now.minus(turn.since).compareTo(grace) >= 0;
    }
}
