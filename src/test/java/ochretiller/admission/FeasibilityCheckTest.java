package ochretiller.admission;

import static ochretiller.admission.InvocationBuilder.invocation;
import static ochretiller.admission.SampleOperations.LOOKUP;
import static ochretiller.admission.SampleOperations.ORDER;
import static ochretiller.admission.SampleOperations.READ;
import static ochretiller.admission.SampleOperations.REPORT;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.CallOutcome;
import ochretiller.model.RunOutcome;
import org.junit.jupiter.api.Test;

/** Tests that queued invocations are rejected when they cannot end in time. */
class FeasibilityCheckTest {
    private final AdmissionFixture server = new AdmissionFixture();

    /** Runs lookups one after another, each with a slow downstream call. */
    private void makeSlowCalls() {
        for (long id = 1; id <= 3; id++) {
            server.receive(id, LOOKUP);
            server.requestCall(id);
            server.now = server.now.plusMillis(700);
            server.endCall(id, CallOutcome.Status.SUCCEEDED);
            server.endRun(id, RunOutcome.Status.SUCCEEDED, Duration.ofMillis(800));
        }
    }

    @Test
    void slowCallsCountTowardsFeasibility() {
        makeSlowCalls();
        server.receive(11, REPORT);
        server.receive(12, REPORT);
        assertThat(server.receive(13, LOOKUP))
                .singleElement()
                .asString()
                .endsWith(" 13")
                .doesNotStartWith("startRun");
        assertThat(server.receive(14, READ)).as("queued, since it makes no call").isEmpty();
    }

    @Test
    void markedRetryIsRejectedSoonerThanAFirstAttempt() {
        server.occupyBothCores();
        server.receive(invocation(1, READ).build());
        server.receive(invocation(2, READ).client(1).markedAsRetry().build());
        assertThat(server.advanceTo(Duration.ofMillis(1_250)))
                .containsAnyOf("throttle 2", "throttleFinally 2")
                .doesNotContain("throttle 1", "throttleFinally 1");
    }

    @Test
    void invocationForPoolWithoutWorkersIsRejectedAtOnce() {
        server.pools.put(READ, "reads");
        server.poolCapacity = 0;
        server.freePoolSlots = 0;
        assertThat(server.receive(1, READ))
                .hasSize(1)
                .allMatch(action -> action.matches("(throttle|throttleFinally) 1"));
        assertThat(server.lastRetryAfter).isPositive();
        assertThat(server.receive(2, ORDER)).containsExactly("putEntry 2", "startRun 2");
    }
}
