package ochretiller.admission;

import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MemoryBudgetTest {
    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void queuedInvocationIsRejectedIfMemoryIsFull() {
        server.settings.memoryKb(245);
        server.occupyBothCores();
        server.receive(1, READ);
        server.receive(2, READ);
        assertThat(server.receive(3, READ))
                .containsAnyOf("throttle 3", "throttleFinally 3")
                .hasSize(1);
    }

    @Test
    void invocationStaysQueuedWithoutMemoryToRun() {
        server.settings.memoryKb(150);
        server.receive(1, READ);
        assertThat(server.receive(2, READ)).isEmpty();
    }
}
