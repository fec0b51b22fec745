package ochretiller.workers;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.ManualEventLoop;
import ochretiller.execution.RunRequest;
import ochretiller.metrics.Metrics;
import ochretiller.model.RunOutcome.Status;
import ochretiller.net.Network;
import ochretiller.pools.PoolSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class UwsgiRunBackendTest {
    private static final String OPERATION = "order";
    private final ManualEventLoop loop = new ManualEventLoop();
    private final Network network = new Network(loop, 64L * 1024 * 1024);

    @AfterEach
    void stop() {
        network.stop();
    }

    private UwsgiRunBackend backendWithoutWorkers() {
        WorkerPoolConfig.Target target = new WorkerPoolConfig.Target(OPERATION, "POST", "/order");
        WorkerPoolConfig config =
                new WorkerPoolConfig(
                        "pool",
                        PoolSettings.DEFAULT,
                        Duration.ofSeconds(1),
                        List.of(),
                        List.of(target));
        return new UwsgiRunBackend(
                loop, network, List.of(config), new SplittableRandom(7), new Metrics());
    }

    /** Guards against memory that grows with runs that have ended, held until their deadlines. */
    @Test
    void endedRunLeavesNoTimer() {
        UwsgiRunBackend backend = backendWithoutWorkers();
        int timers = loop.timerCount();
        Duration deadline = loop.now().plusSeconds(1);
        backend.startRun(
                new RunRequest("rid", OPERATION, new byte[0], false, "token", deadline),
                (status, elapsed, result) -> {});
        loop.runPosted();
        assertThat(loop.timerCount()).isEqualTo(timers);
    }

    /** Guards against runs that end within their start, each starting the next one. */
    @Test
    void runThatNoWorkerCanTakeEndsAfterItsStartHasReturned() {
        UwsgiRunBackend backend = backendWithoutWorkers();
        List<Status> outcomes = new ArrayList<>();
        Duration deadline = loop.now().plusSeconds(1);
        backend.startRun(
                new RunRequest("rid", OPERATION, new byte[0], false, "token", deadline),
                (status, elapsed, result) -> outcomes.add(status));
        assertThat(outcomes).isEmpty();
        loop.runPosted();
        assertThat(outcomes).containsExactly(Status.NOT_DISPATCHED);
    }
}
