package ochretiller.emulator.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.emulator.simulation.Simulation;
import ochretiller.emulator.simulation.SimulationResult;

/**
 * Executes simulation runs on a fixed number of threads. Runs share no state, so the number of
 * threads and the order of execution do not change the results.
 */
public final class ParallelRunner implements AutoCloseable {
    private final ExecutorService executor;

    /** Creates a runner whose daemon threads end with {@link #close}. */
    public ParallelRunner(int threads) {
        executor =
                Executors.newFixedThreadPool(
                        threads,
                        task -> {
                            Thread thread = new Thread(task, "run");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** A scenario and the seed that it is run with. */
    public record Run(Scenario scenario, long seed) {}

    /**
     * Executes all runs and returns their results in the order of {@code runs}.
     *
     * @throws IllegalStateException if a run failed; its cause is the exception of that run
     */
    public List<SimulationResult> runAll(List<Run> runs) throws InterruptedException {
        List<Future<SimulationResult>> futures = new ArrayList<>();
        for (Run run : runs) {
            futures.add(executor.submit(() -> new Simulation(run.scenario, run.seed).run()));
        }
        List<SimulationResult> results = new ArrayList<>();
        try {
            for (Future<SimulationResult> future : futures) {
                results.add(future.get());
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException(
                    "the run with seed " + runs.get(results.size()).seed + " failed", e.getCause());
        }
        return results;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
