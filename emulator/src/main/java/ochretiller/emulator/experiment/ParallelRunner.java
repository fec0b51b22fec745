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
 * Plays scripts on cores of their own. A run shares nothing with another, so that order and number
 * of threads change nothing.
 */
public final class ParallelRunner implements AutoCloseable {
    private final ExecutorService threads;

    public ParallelRunner(int cores) {
        threads =
                Executors.newFixedThreadPool(
                        cores,
                        work -> {
                            Thread thread = new Thread(work, "run");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** One run. */
    public record Run(Scenario script, long seed) {}

    /** The outcomes of all, in the order of the runs. */
    public List<SimulationResult> play(List<Run> runs) throws InterruptedException {
        List<Future<SimulationResult>> playing = new ArrayList<>();
        for (Run run : runs) {
            playing.add(threads.submit(() -> new Simulation(run.script, run.seed).play()));
        }
        List<SimulationResult> outcomes = new ArrayList<>();
        try {
            for (Future<SimulationResult> each : playing) {
                outcomes.add(each.get());
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException(
                    "a run has failed: seed " + runs.get(outcomes.size()).seed, e.getCause());
        }
        return outcomes;
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
