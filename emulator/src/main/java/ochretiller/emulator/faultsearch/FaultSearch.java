package ochretiller.emulator.faultsearch;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ochretiller.emulator.experiment.ParallelRunner;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.emulator.simulation.SimulationResult;

/** Plays drawn time lines and keeps the worst; a find is cut down while it stays one. */
public final class FaultSearch {
    /** Rounds of cutting down: each halves or drops something, so that few are needed. */
    private static final int ROUNDS = 30;

    private final ParallelRunner runs;
    private final Scenario base;
    private final long seed;

    public FaultSearch(ParallelRunner runs, Scenario base, long seed) {
        this.runs = runs;
        this.base = base;
        this.seed = seed;
    }

    /**
     * What was found.
     *
     * @param broken a rule is broken; else it is the greatest loss
     * @param value share of the billed value that was left
     */
    public record Find(Scenario script, long seed, boolean broken, double value, String line) {}

    /** The first time line that breaks a rule, or else the one with the least value. */
    public Find search(int tries, int round, Consumer<String> progress)
            throws InterruptedException {
        SplittableRandom chance = new SplittableRandom(seed);
        Find worst = null;
        for (int done = 0; done < tries; ) {
            List<ParallelRunner.Run> next = new ArrayList<>();
            for (int i = 0; i < Math.min(round, tries - done); i++) {
                next.add(
                        new ParallelRunner.Run(
                                base.with(RandomIncidents.draw(base, chance)), seed + done + i));
            }
            List<SimulationResult> outcomes = runs.play(next);
            for (int i = 0; i < next.size(); i++) {
                Find find = find(next.get(i), outcomes.get(i));
                if (worst == null
                        || find.broken && !worst.broken
                        || find.broken == worst.broken && find.value < worst.value) {
                    worst = find;
                }
            }
            done += next.size();
            progress.accept(
                    done
                            + " of "
                            + tries
                            + ": "
                            + (worst.broken
                                    ? "a broken rule: " + worst.line
                                    : "least value " + worst.value));
            if (worst.broken) {
                break;
            }
        }
        return worst;
    }

    private static Find find(ParallelRunner.Run run, SimulationResult outcome) {
        boolean broken = outcome.rules().count() > 0;
        return new Find(
                run.script(),
                run.seed(),
                broken,
                outcome.valueShare(),
                broken ? outcome.rules().broken().get(0) : "");
    }

    /**
     * A smaller time line that still breaks a rule, or still loses nine tenths of what this one
     * loses.
     */
    public Find cut(Find found, Consumer<String> progress) throws InterruptedException {
        Predicate<Find> still =
                found.broken ? Find::broken : find -> 1 - find.value >= 0.9 * (1 - found.value);
        Find best = found;
        for (int round = 0; round < ROUNDS; round++) {
            List<ParallelRunner.Run> next = new ArrayList<>();
            for (List<Scenario.Incident> smaller :
                    RandomIncidents.smaller(best.script.incidents())) {
                next.add(new ParallelRunner.Run(base.with(smaller), found.seed));
            }
            List<SimulationResult> outcomes = runs.play(next);
            Find smaller = null;
            for (int i = 0; i < next.size() && smaller == null; i++) {
                Find each = find(next.get(i), outcomes.get(i));
                if (still.test(each)) {
                    smaller = each;
                }
            }
            if (smaller == null) {
                return best;
            }
            best = smaller;
            progress.accept("cut down to " + best.script.incidents().size() + " incidents");
        }
        return best;
    }
}
