package ochretiller.emulator.faultsearch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.emulator.scenario.Scenario;

/** Draws random lists of incidents and derives smaller lists from a given one. */
public final class RandomIncidents {
    /** Most incidents in one run; the effects of more could not be told apart. */
    private static final int MAX_INCIDENTS = 5;

    /** Range of starts, as shares of the run; the part after the latest one shows the recovery. */
    private static final double EARLIEST_START = 0.1;

    private static final double LATEST_START = 0.6;

    /** Kinds of incidents, with the ranges of durations and strengths that occur in practice. */
    private enum Kind {
        DIE("die", 0, 5, 1, 1),
        PAUSE("pause", 0.2, 8, 1, 1),
        SLOW("slow", 1, 15, 1.5, 10),
        FAIL("fail", 1, 10, 0.1, 1),
        RELEASE("release", 2, 20, 1, 1),
        BURST("burst", 1, 15, 1.2, 3),
        LEDGER_SLOW("ledger-slow", 1, 10, 2, 20),
        LEDGER_DOWN("ledger-down", 0.5, 5, 1, 1),
        CUT("cut", 0.5, 8, 1, 1),
        DISK_STALL("disk-stall", 0.5, 8, 1, 1),
        RETRY_STORM("retry-storm", 2, 15, 1, 1);

        private final String name;
        private final double minSeconds;
        private final double maxSeconds;
        private final double minStrength;
        private final double maxStrength;

        Kind(
                String name,
                double minSeconds,
                double maxSeconds,
                double minStrength,
                double maxStrength) {
            this.name = name;
            this.minSeconds = minSeconds;
            this.maxSeconds = maxSeconds;
            this.minStrength = minStrength;
            this.maxStrength = maxStrength;
        }
    }

    private RandomIncidents() {}

    /**
     * Draws incidents, ordered by their start. The disk stalls only in a scenario whose servers
     * keep durable records.
     */
    public static List<Scenario.Incident> draw(Scenario scenario, SplittableRandom random) {
        List<Scenario.Incident> drawn = new ArrayList<>();
        int count = 1 + random.nextInt(MAX_INCIDENTS);
        while (drawn.size() < count) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            if (kind == Kind.DISK_STALL && !scenario.fleet().remembers()) {
                continue;
            }
            drawn.add(
                    new Scenario.Incident(
                            round(
                                    scenario.seconds()
                                            * random.nextDouble(EARLIEST_START, LATEST_START)),
                            round(uniform(random, kind.minSeconds, kind.maxSeconds)),
                            kind.name,
                            round(random.nextDouble(0.05, 1)),
                            round(uniform(random, kind.minStrength, kind.maxStrength))));
        }
        drawn.sort(Comparator.comparingDouble(Scenario.Incident::atS));
        return drawn;
    }

    private static double uniform(SplittableRandom random, double min, double max) {
        return min == max ? min : random.nextDouble(min, max);
    }

    /** Rounds to three decimals, so that a saved script has exactly the values that were run. */
    private static double round(double value) {
        return Math.round(value * 1000) / 1000.0;
    }

    /**
     * Returns every list that is one step smaller: without one incident, or with one incident that
     * is shorter, weaker or affects a smaller share.
     */
    static List<List<Scenario.Incident>> shrinkCandidates(List<Scenario.Incident> incidents) {
        List<List<Scenario.Incident>> candidates = new ArrayList<>();
        for (int i = 0; i < incidents.size(); i++) {
            List<Scenario.Incident> without = new ArrayList<>(incidents);
            without.remove(i);
            candidates.add(without);
        }
        for (int i = 0; i < incidents.size(); i++) {
            Scenario.Incident each = incidents.get(i);
            if (each.forS() > 0.5) {
                candidates.add(
                        replace(
                                incidents,
                                i,
                                new Scenario.Incident(
                                        each.atS(),
                                        round(each.forS() / 2),
                                        each.what(),
                                        each.share(),
                                        each.strength())));
            }
            if (each.share() > 0.1) {
                candidates.add(
                        replace(
                                incidents,
                                i,
                                new Scenario.Incident(
                                        each.atS(),
                                        each.forS(),
                                        each.what(),
                                        round(each.share() / 2),
                                        each.strength())));
            }
            if (each.strength() > 1.5) {
                candidates.add(
                        replace(
                                incidents,
                                i,
                                new Scenario.Incident(
                                        each.atS(),
                                        each.forS(),
                                        each.what(),
                                        each.share(),
                                        round(1 + (each.strength() - 1) / 2))));
            }
        }
        return candidates;
    }

    private static List<Scenario.Incident> replace(
            List<Scenario.Incident> incidents, int index, Scenario.Incident replacement) {
        List<Scenario.Incident> changed = new ArrayList<>(incidents);
        changed.set(index, replacement);
        return changed;
    }
}
