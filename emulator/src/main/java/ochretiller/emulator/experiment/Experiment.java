package ochretiller.emulator.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.emulator.simulation.SimulationResult;

/**
 * Runs variants of a scenario with the same seeds, so that they draw the same random numbers, until
 * the differences from the first variant are precise enough or all seeds are used.
 */
public final class Experiment {
    /** Seeds before the first check of the interval; fewer may make it too narrow by accident. */
    private static final int MIN_SEEDS = 5;

    private final List<Scenario> variants;
    private final long firstSeed;
    private final int maxSeeds;
    private final double targetHalfWidth;
    private final ToDoubleFunction<SimulationResult> stoppingMetric;
    private final List<List<SimulationResult>> results = new ArrayList<>();

    /**
     * Creates an experiment without results.
     *
     * @param targetHalfWidth half of the interval's width at which to stop; zero to run all seeds
     * @param stoppingMetric the metric whose interval is checked
     */
    public Experiment(
            List<Scenario> variants,
            long firstSeed,
            int maxSeeds,
            double targetHalfWidth,
            ToDoubleFunction<SimulationResult> stoppingMetric) {
        this.variants = List.copyOf(variants);
        this.firstSeed = firstSeed;
        this.maxSeeds = maxSeeds;
        this.targetHalfWidth = targetHalfWidth;
        this.stoppingMetric = stoppingMetric;
        for (int i = 0; i < variants.size(); i++) {
            results.add(new ArrayList<>());
        }
    }

    /**
     * Runs the seeds in batches. The interval is checked after each seed in order, and results of
     * later seeds in the batch are discarded, so the number of seeds used depends on the results
     * alone and not on the batch size.
     */
    public void run(ParallelRunner runner, int seedsPerBatch, Consumer<String> progress)
            throws InterruptedException {
        for (int seeds = 0; seeds < maxSeeds; ) {
            int batchSeeds = Math.min(seedsPerBatch, maxSeeds - seeds);
            List<ParallelRunner.Run> batch = new ArrayList<>();
            for (int i = 0; i < batchSeeds; i++) {
                for (Scenario variant : variants) {
                    batch.add(new ParallelRunner.Run(variant, firstSeed + seeds + i));
                }
            }
            List<SimulationResult> batchResults = runner.runAll(batch);
            for (int i = 0; i < batchSeeds; i++) {
                for (int v = 0; v < variants.size(); v++) {
                    results.get(v).add(batchResults.get(i * variants.size() + v));
                }
                seeds++;
                if (isPreciseEnough(seeds)) {
                    progress.accept(seeds + " seeds: narrow enough");
                    return;
                }
            }
            progress.accept(seeds + " of " + maxSeeds + " seeds");
        }
    }

    private boolean isPreciseEnough(int seeds) {
        if (targetHalfWidth <= 0 || seeds < MIN_SEEDS) {
            return false;
        }
        if (variants.size() == 1) {
            return estimate(0, stoppingMetric).halfWidth() <= targetHalfWidth;
        }
        for (int v = 1; v < variants.size(); v++) {
            if (difference(v, stoppingMetric).halfWidth() > targetHalfWidth) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of seeds used. */
    public int seedCount() {
        return results.get(0).size();
    }

    /** Returns the results of a variant in the order of the seeds. */
    public List<SimulationResult> results(int variant) {
        return results.get(variant);
    }

    /** Returns the mean of a metric over the seeds used. */
    public ConfidenceInterval estimate(int variant, ToDoubleFunction<SimulationResult> metric) {
        return ConfidenceInterval.of(
                results.get(variant).stream().map(each -> metric.applyAsDouble(each)).toList());
    }

    private List<Double> differences(int variant, ToDoubleFunction<SimulationResult> metric) {
        List<Double> differences = new ArrayList<>();
        for (int i = 0; i < seedCount(); i++) {
            differences.add(
                    metric.applyAsDouble(results.get(variant).get(i))
                            - metric.applyAsDouble(results.get(0).get(i)));
        }
        return differences;
    }

    /** Returns the mean difference of a variant from the first one, paired by seed. */
    public ConfidenceInterval difference(int variant, ToDoubleFunction<SimulationResult> metric) {
        return ConfidenceInterval.of(differences(variant, metric));
    }

    /** Returns the p-value of a variant's mean difference from the first one, paired by seed. */
    public double pValue(int variant, ToDoubleFunction<SimulationResult> metric) {
        return ConfidenceInterval.pValue(differences(variant, metric));
    }

    /** Returns the first seed with which a variant broke a rule, null if there is none. */
    public Long firstSeedWithViolation(int variant) {
        for (int i = 0; i < seedCount(); i++) {
            if (results.get(variant).get(i).rules().violationCount() > 0) {
                return firstSeed + i;
            }
        }
        return null;
    }
}
