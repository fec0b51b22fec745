package ochretiller.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.net.ScheduledTask;
import org.junit.jupiter.api.Test;

/** Tests the order and the cancellation of scheduled tasks. */
class EventLoopTest {
    private final EventLoop loop = new EventLoop();
    private final List<String> ran = new ArrayList<>();

    // Guards against a task that runs after it was cancelled, also by a task of the same batch.
    @Test
    void cancelledTasksDoNotRun() {
        List<ScheduledTask> cancelled = new ArrayList<>();
        loop.runAfter(
                Duration.ZERO,
                () -> {
                    ran.add("first");
                    cancelled.forEach(ScheduledTask::cancel);
                });
        cancelled.add(loop.runAfter(Duration.ZERO, () -> ran.add("same batch")));
        cancelled.add(loop.runAfter(Duration.ofNanos(1), () -> ran.add("later")));
        loop.runAfter(Duration.ofMillis(1), loop::stop);
        loop.run(() -> {});
        assertThat(ran).containsExactly("first");
    }
}
