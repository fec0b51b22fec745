package ochretiller.emulator.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.emulator.simulation.SimulationResult;

/**
 * Variants of a script on the same seeds, so that the same chance meets each, until the differences
 * from the first are known well enough or the seeds are spent.
 */
public final class Experiment {
    /** Seeds that are played before the interval is looked at: fewer make it too narrow by luck. */
    private static final int FEWEST = 5;

    private final List<Scenario> variants;
    private final long firstSeed;
    private final int mostSeeds;
    private final double halfWidth;
    private final ToDoubleFunction<SimulationResult> figure;
    private final List<List<SimulationResult>> outcomes = new ArrayList<>();

    /**
     * An experiment that has not begun.
     *
     * @param halfWidth half of an interval's width that is narrow enough; zero to play all seeds
     * @param figure what is compared, for stopping
     */
    public Experiment(
            List<Scenario> variants,
            long firstSeed,
            int mostSeeds,
            double halfWidth,
            ToDoubleFunction<SimulationResult> figure) {
        this.variants = List.copyOf(variants);
        this.firstSeed = firstSeed;
        this.mostSeeds = mostSeeds;
        this.halfWidth = halfWidth;
        this.figure = figure;
        for (int i = 0; i < variants.size(); i++) {
            outcomes.add(new ArrayList<>());
        }
    }

    /**
     * Plays rounds of as many seeds as there are cores for. The number of seeds that count follows
     * from their outcomes alone: whether to go on is asked after each seed in turn, whatever was
     * played beyond it.
     */
    public void play(ParallelRunner runs, int round, Consumer<String> progress)
            throws InterruptedException {
        for (int seeds = 0; seeds < mostSeeds; ) {
            int more = Math.min(round, mostSeeds - seeds);
            List<ParallelRunner.Run> next = new ArrayList<>();
            for (int i = 0; i < more; i++) {
                for (Scenario variant : variants) {
                    next.add(new ParallelRunner.Run(variant, firstSeed + seeds + i));
                }
            }
            List<SimulationResult> played = runs.play(next);
            for (int i = 0; i < more; i++) {
                for (int v = 0; v < variants.size(); v++) {
                    outcomes.get(v).add(played.get(i * variants.size() + v));
                }
                seeds++;
                if (narrow(seeds)) {
                    progress.accept(seeds + " seeds: narrow enough");
                    return;
                }
            }
            progress.accept(seeds + " of " + mostSeeds + " seeds");
        }
    }

    private boolean narrow(int seeds) {
        if (halfWidth <= 0 || seeds < FEWEST) {
            return false;
        }
        if (variants.size() == 1) {
            return estimate(0, figure).half() <= halfWidth;
        }
        for (int v = 1; v < variants.size(); v++) {
            if (difference(v, figure).half() > halfWidth) {
                return false;
            }
        }
        return true;
    }

    public int seeds() {
        return outcomes.get(0).size();
    }

    public List<SimulationResult> outcomes(int variant) {
        return outcomes.get(variant);
    }

    public ConfidenceInterval estimate(int variant, ToDoubleFunction<SimulationResult> of) {
        return ConfidenceInterval.of(
                outcomes.get(variant).stream().map(each -> of.applyAsDouble(each)).toList());
    }

    private List<Double> differences(int variant, ToDoubleFunction<SimulationResult> of) {
        List<Double> differences = new ArrayList<>();
        for (int i = 0; i < seeds(); i++) {
            differences.add(
                    of.applyAsDouble(outcomes.get(variant).get(i))
                            - of.applyAsDouble(outcomes.get(0).get(i)));
        }
        return differences;
    }

    /** Of a variant from the first, seed by seed. */
    public ConfidenceInterval difference(int variant, ToDoubleFunction<SimulationResult> of) {
        return ConfidenceInterval.of(differences(variant, of));
    }

    public double chance(int variant, ToDoubleFunction<SimulationResult> of) {
        return ConfidenceInterval.chance(differences(variant, of));
    }

    /** The seed of the first run of a variant that broke a rule, or null. */
    public Long broken(int variant) {
        for (int i = 0; i < seeds(); i++) {
            if (outcomes.get(variant).get(i).rules().count() > 0) {
                return firstSeed + i;
            }
        }
        return null;
    }
}
