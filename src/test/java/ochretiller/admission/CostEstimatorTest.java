package ochretiller.admission;

import static ochretiller.admission.SampleOperations.ORDER;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.RunOutcome.Status;
import org.junit.jupiter.api.Test;

class CostEstimatorTest {
    @Test
    void unmeasuredOperationIsNotExcludedByItsPriorEstimate() {
        AdmissionFixture server = new AdmissionFixture();
        server.occupyBothCores();
        for (long id : new long[] {101, 102}) {
            server.endRun(id, Status.SUCCEEDED, Duration.ofMillis(4));
        }
        server.receive(103, READ);
        server.receive(104, READ);
        server.receive(1, READ);
        server.receive(2, ORDER);
        assertThat(server.endRun(103, Status.SUCCEEDED))
                .as("reads ran faster than estimated, so orders may too")
                .containsExactly("startRun 2");
    }
}
