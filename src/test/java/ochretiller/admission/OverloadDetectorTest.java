package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static ochretiller.admission.InvocationBuilder.invocation;
import static ochretiller.admission.SampleOperations.ORDER;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.Invocation;
import org.junit.jupiter.api.Test;

/** Tests the effects of read backlogs and stalls. */
class OverloadDetectorTest {
    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void idempotentInvocationIsShedAfterTwoLateReadsButNotAfterOne() {
        Invocation firstLate = invocation(1, READ).build();
        Invocation secondLate = invocation(2, READ).build();
        server.now = Duration.ofMillis(500);
        assertThat(server.receive(firstLate)).containsExactly("startRun 1");
        assertThat(server.receive(secondLate)).containsAnyOf("throttle 2", "throttleFinally 2");
    }

    @Test
    void keyedInvocationsAreNotShedForReadBacklog() {
        server.occupyBothCores();
        Invocation late = invocation(1, ORDER).build();
        server.now = Duration.ofMillis(500);
        assertThat(server.receive(late)).containsExactly("putEntry 1");
    }

    @Test
    void severeReadBacklogMakesServerUnhealthyUntilNoReadIsLate() {
        server.advanceTo(Duration.ZERO);
        Invocation firstLate = invocation(1, READ).build();
        Invocation secondLate = invocation(2, READ).build();
        server.now = Duration.ofMillis(6_500);
        server.receive(firstLate);
        server.receive(secondLate);
        assertThat(server.advanceTo(Duration.ofMillis(6_600))).contains("unhealthy");
        assertThat(server.advanceTo(Duration.ofMillis(7_200))).contains("healthy");
    }

    @Test
    void stallRejectsQueuedInvocationsThatAreNotKeyed() {
        server.occupyBothCores();
        server.receive(1, READ);
        server.receive(2, ORDER);
        assertThat(server.advanceTo(Duration.ofMillis(1_350)))
                .containsAnyOf("throttle 1", "throttleFinally 1")
                .doesNotContain("throttle 2", "throttleFinally 2");
    }

    @Test
    void slowWorkerPoolIsNotAStallOfTheCores() {
        server.pools.put(ORDER, "orders");
        server.receive(1, ORDER);
        server.advanceTo(SECOND.multipliedBy(3));
        assertThat(server.receive(2, READ)).containsExactly("startRun 2");
    }
}
