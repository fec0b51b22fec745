package ochretiller.emulator.faultsearch;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ochretiller.emulator.experiment.ParallelRunner;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.emulator.simulation.SimulationResult;

/**
 * Runs a scenario with random incidents, finds the run with the worst result and shrinks its
 * incidents while the result stays about as bad.
 */
public final class FaultSearch {
    /** Most shrinking steps; few are needed, as each drops an incident or halves a value of it. */
    private static final int MAX_SHRINK_ROUNDS = 30;

    private final ParallelRunner runner;
    private final Scenario base;
    private final long seed;

    /**
     * Creates a search.
     *
     * @param base scenario whose incidents are replaced by random ones
     * @param seed seed of the incidents, and of the first run
     */
    public FaultSearch(ParallelRunner runner, Scenario base, long seed) {
        this.runner = runner;
        this.base = base;
        this.seed = seed;
    }

    /**
     * The worst run of a search.
     *
     * @param ruleBroken whether the run broke a rule; if not, no run of the search earned less
     *     value
     * @param valueShare share of the billed value that was earned
     * @param violation the first violation, empty if no rule was broken
     */
    public record Finding(
            Scenario scenario,
            long seed,
            boolean ruleBroken,
            double valueShare,
            String violation) {}

    /**
     * Runs random incidents in batches up to the first batch that breaks a rule. Returns the worst
     * run: one that broke a rule or, if none did, the one that earned the least value.
     */
    public Finding search(int runCount, int batchSize, Consumer<String> progress)
            throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        Finding worst = null;
        for (int completed = 0; completed < runCount; ) {
            List<ParallelRunner.Run> batch = new ArrayList<>();
            for (int i = 0; i < Math.min(batchSize, runCount - completed); i++) {
                batch.add(
                        new ParallelRunner.Run(
                                base.withIncidents(RandomIncidents.draw(base, random)),
                                seed + completed + i));
            }
            List<SimulationResult> results = runner.runAll(batch);
            for (int i = 0; i < batch.size(); i++) {
                Finding candidate = evaluate(batch.get(i), results.get(i));
                if (worst == null
                        || candidate.ruleBroken && !worst.ruleBroken
                        || candidate.ruleBroken == worst.ruleBroken
                                && candidate.valueShare < worst.valueShare) {
                    worst = candidate;
                }
            }
            completed += batch.size();
            progress.accept(
                    completed
                            + " of "
                            + runCount
                            + ": "
                            + (worst.ruleBroken
                                    ? "a broken rule: " + worst.violation
                                    : "least value " + worst.valueShare));
            if (worst.ruleBroken) {
                break;
            }
        }
        return worst;
    }

    private static Finding evaluate(ParallelRunner.Run run, SimulationResult result) {
        boolean broken = result.rules().violationCount() > 0;
        return new Finding(
                run.scenario(),
                run.seed(),
                broken,
                result.valueShare(),
                broken ? result.rules().violations().get(0) : "");
    }

    /**
     * Shrinks the incidents of a run while it still breaks a rule or, if it broke none, while it
     * still loses at least nine tenths of the value that it lost.
     */
    public Finding shrink(Finding finding, Consumer<String> progress) throws InterruptedException {
        Predicate<Finding> isStillInteresting =
                finding.ruleBroken
                        ? Finding::ruleBroken
                        : candidate -> 1 - candidate.valueShare >= 0.9 * (1 - finding.valueShare);
        Finding smallest = finding;
        for (int round = 0; round < MAX_SHRINK_ROUNDS; round++) {
            List<ParallelRunner.Run> batch = new ArrayList<>();
            for (List<Scenario.Incident> incidents :
                    RandomIncidents.shrinkCandidates(smallest.scenario.incidents())) {
                batch.add(new ParallelRunner.Run(base.withIncidents(incidents), finding.seed));
            }
            List<SimulationResult> results = runner.runAll(batch);
            Finding smaller = null;
            for (int i = 0; i < batch.size() && smaller == null; i++) {
                Finding candidate = evaluate(batch.get(i), results.get(i));
                if (isStillInteresting.test(candidate)) {
                    smaller = candidate;
                }
            }
            if (smaller == null) {
                return smallest;
            }
            smallest = smaller;
            progress.accept("cut down to " + smallest.scenario.incidents().size() + " incidents");
        }
        return smallest;
    }
}
