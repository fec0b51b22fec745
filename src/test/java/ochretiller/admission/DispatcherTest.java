package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static ochretiller.admission.SampleOperations.ORDER;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Optional;
import ochretiller.model.RunOutcome.Status;
import org.junit.jupiter.api.Test;

class DispatcherTest {
    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void runsThatEndWhileBeingStartedAreStartedOnce() {
        server.pools.put(ORDER, "orders");
        server.freePoolSlots = 0;
        for (long id = 1; id <= 4; id++) {
            server.receive(id, ORDER);
        }
        server.freePoolSlots = 8;
        server.immediateRunStatus = Optional.of(Status.NOT_DISPATCHED);
        assertThat(server.receive(5, READ).stream().filter(it -> it.startsWith("startRun")))
                .containsExactlyInAnyOrder(
                        "startRun 1", "startRun 2", "startRun 3", "startRun 4", "startRun 5");
    }

    @Test
    void poolRunNeedsNoCoreAndWaitsForASlotOfItsPool() {
        server.pools.put(READ, "reads");
        server.receive(101, ORDER);
        server.receive(102, ORDER);
        assertThat(server.receive(1, READ))
                .as("the cores are occupied, its pool is not")
                .containsExactly("startRun 1");
        server.freePoolSlots = 0;
        assertThat(server.receive(2, READ)).isEmpty();
        server.endRun(101, Status.SUCCEEDED);
        assertThat(server.receive(3, ORDER))
                .as("an invocation that waits for a pool does not block others")
                .contains("startRun 3");
        server.freePoolSlots = 1;
        assertThat(server.endRun(1, Status.SUCCEEDED)).containsExactly("startRun 2");
    }

    // Guards against a server whose periodic work ends for good when one round of it fails.
    @Test
    void tickContinuesAfterAFailedOne() {
        server.pools.put(READ, "reads");
        server.freePoolSlots = 0;
        server.receive(1, READ);
        server.freePoolSlots = 1;
        server.isFaulty = true;
        assertThatThrownBy(() -> server.advanceTo(SECOND.dividedBy(2)))
                .isInstanceOf(IllegalStateException.class);
        server.isFaulty = false;
        server.freePoolSlots = 0;
        assertThat(server.receive(2, READ)).isEmpty();
        server.freePoolSlots = 1;
        assertThat(server.advanceTo(SECOND)).contains("startRun 2");
    }
}
