package ochretiller.fleet.versions;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import ochretiller.fleet.epochs.Layout;
import ochretiller.fleet.epochs.Rollout;

/**
 * Whose lease a voter renews: those that act on a version that is in force for them, and for a stated while those that have just come to
 * their turn. Who is behind is let run out; who has caught up is let in again, few at a time.
 */
public final class Doorkeeper {
    /** Part of the servers that may be shut out: where more are behind, nobody is, since that would be worse than what is behind. */
    static final double MOST_OUT = 0.34;
    /** Servers that are let in again in a second. */
    private static final double BACK_RATE = 2;
    private static final double BACK_BURST = 2;

    private final Duration grace;
    private final RandomGenerator chance;
    private final Set<String> out = new HashSet<>();
    private final Map<String, Duration> turnSince = new HashMap<>();
    private Rollout.Version last = Rollout.Version.NONE;
    private double back = BACK_BURST;
    private Duration backAt = Duration.ZERO;

    /** @param grace how long a server may take to come to act on what is in force for it */
    public Doorkeeper(Duration grace, RandomGenerator chance) {
        this.grace = grace;
        this.chance = chance;
    }

    /** Servers that are shut out. */
    public Set<String> out() {
        return Set.copyOf(out);
    }

    /**
     * Whether this server may go on.
     *
     * @param reports what each server that is there has said last, this one among them
     */
    public boolean renews(Layout layout, String name, Map<String, Report> reports, Duration now) {
        Rollout rollout = layout.rollout();
        if (!rollout.to().equals(last)) {
            last = rollout.to();
            turnSince.clear();
        }
        turnSince.keySet().retainAll(reports.keySet());
        out.retainAll(reports.keySet());
        int late = 0;
        for (Map.Entry<String, Report> each : reports.entrySet()) if (late(layout, each.getKey(), each.getValue(), now)) late++;
        boolean mine = reports.containsKey(name) && late(layout, name, reports.get(name), now);
        if (mine && late <= Math.max(1, MOST_OUT * reports.size())) {
            out.add(name);
            return false;
        }
        if (mine || !out.contains(name)) return true;
        // Guards against all at once: those that were shut out together would come back together.
        back = Math.min(BACK_BURST, back + Math.max(0, now.minus(backAt).toNanos() / 1e9) * BACK_RATE);
        backAt = now;
        if (back < 1 || chance.nextInt(2) == 0) return false;
        back--;
        out.remove(name);
        return true;
    }

    private boolean late(Layout layout, String name, Report report, Duration now) {
        if (!Rollouts.behind(report, Stages.target(layout, name))) {
            turnSince.remove(name);
            return false;
        }
        return now.minus(turnSince.computeIfAbsent(name, ignored -> now)).compareTo(grace) >= 0;
    }
}
