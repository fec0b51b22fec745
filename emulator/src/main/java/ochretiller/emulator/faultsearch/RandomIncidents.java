package ochretiller.emulator.faultsearch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.emulator.scenario.Scenario;

/** Draws time lines of incidents, and makes smaller ones of them. */
public final class RandomIncidents {
    /** Incidents in one time line: more cannot be told apart in what they do. */
    private static final int MOST = 5;

    /** Part of the run in which they begin: what follows shows how it comes back. */
    private static final double FIRST = 0.1;

    private static final double LAST = 0.6;

    /**
     * Kinds, with the least and greatest span in seconds and strength that are still an
     * afternoon's, not the end of the world.
     */
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

        private final String what;
        private final double leastS;
        private final double mostS;
        private final double weakest;
        private final double strongest;

        Kind(String what, double leastS, double mostS, double weakest, double strongest) {
            this.what = what;
            this.leastS = leastS;
            this.mostS = mostS;
            this.weakest = weakest;
            this.strongest = strongest;
        }
    }

    private RandomIncidents() {}

    /** A time line for a script; a stalled disk only where one is kept. */
    public static List<Scenario.Incident> draw(Scenario script, SplittableRandom chance) {
        List<Scenario.Incident> drawn = new ArrayList<>();
        int count = 1 + chance.nextInt(MOST);
        while (drawn.size() < count) {
            Kind kind = Kind.values()[chance.nextInt(Kind.values().length)];
            if (kind == Kind.DISK_STALL && !script.fleet().remembers()) {
                continue;
            }
            drawn.add(
                    new Scenario.Incident(
                            round(script.seconds() * chance.nextDouble(FIRST, LAST)),
                            round(between(chance, kind.leastS, kind.mostS)),
                            kind.what,
                            round(chance.nextDouble(0.05, 1)),
                            round(between(chance, kind.weakest, kind.strongest))));
        }
        drawn.sort(Comparator.comparingDouble(Scenario.Incident::atS));
        return drawn;
    }

    private static double between(SplittableRandom chance, double least, double most) {
        return least == most ? least : chance.nextDouble(least, most);
    }

    /**
     * Three digits are enough, and a script that was found can be written down as it was played.
     */
    private static double round(double value) {
        return Math.round(value * 1000) / 1000.0;
    }

    /**
     * Each time line that is one step smaller: one incident less, or one that is shorter, weaker or
     * takes fewer.
     */
    static List<List<Scenario.Incident>> smaller(List<Scenario.Incident> line) {
        List<List<Scenario.Incident>> all = new ArrayList<>();
        for (int i = 0; i < line.size(); i++) {
            List<Scenario.Incident> without = new ArrayList<>(line);
            without.remove(i);
            all.add(without);
        }
        for (int i = 0; i < line.size(); i++) {
            Scenario.Incident each = line.get(i);
            if (each.forS() > 0.5) {
                all.add(
                        with(
                                line,
                                i,
                                new Scenario.Incident(
                                        each.atS(),
                                        round(each.forS() / 2),
                                        each.what(),
                                        each.share(),
                                        each.strength())));
            }
            if (each.share() > 0.1) {
                all.add(
                        with(
                                line,
                                i,
                                new Scenario.Incident(
                                        each.atS(),
                                        each.forS(),
                                        each.what(),
                                        round(each.share() / 2),
                                        each.strength())));
            }
            if (each.strength() > 1.5) {
                all.add(
                        with(
                                line,
                                i,
                                new Scenario.Incident(
                                        each.atS(),
                                        each.forS(),
                                        each.what(),
                                        each.share(),
                                        round(1 + (each.strength() - 1) / 2))));
            }
        }
        return all;
    }

    private static List<Scenario.Incident> with(
            List<Scenario.Incident> line, int at, Scenario.Incident other) {
        List<Scenario.Incident> changed = new ArrayList<>(line);
        changed.set(at, other);
        return changed;
    }
}
