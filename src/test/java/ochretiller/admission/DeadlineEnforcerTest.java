package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static ochretiller.admission.InvocationBuilder.invocation;
import static ochretiller.admission.SampleOperations.LOOKUP;
import static ochretiller.admission.SampleOperations.ORDER;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.CallOutcome;
import ochretiller.model.Invocation;
import ochretiller.model.RunOutcome;
import org.junit.jupiter.api.Test;

/** Tests that answers are sent in time, even for runs that have not ended. */
class DeadlineEnforcerTest {
    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void runIsFailedBeforeItsDeadlineAndCancelled() {
        server.receive(1, READ);
        assertThat(server.advanceTo(Duration.ofMillis(3_900))).doesNotContain("fail 1");
        assertThat(server.advanceTo(Duration.ofMillis(3_930))).contains("fail 1", "stopRun 1");
        assertThat(server.endRun(1, RunOutcome.Status.STOPPED)).isEmpty();
    }

    @Test
    void keyedRunIsNeverCancelled() {
        server.receive(1, ORDER);
        assertThat(server.disconnectClient(1)).isEmpty();
    }

    @Test
    void queuedInvocationThatCannotEndInTimeIsRejectedAtOnce() {
        server.occupyBothCores();
        server.receive(1, READ);
        assertThat(server.advanceTo(Duration.ofMillis(1_600)))
                .containsAnyOf("throttleFinally 1", "throttle 1");
    }

    @Test
    void retryNearItsDeadlineFailsIfItsOriginalHasStarted() {
        server.receive(1, ORDER);
        server.now = SECOND;
        server.receiveRetry(2, ORDER, 1);
        server.advanceTo(SECOND.multipliedBy(4));
        assertThat(server.advanceTo(SECOND.multipliedBy(5)))
                .contains("fail 2")
                .doesNotContain("throttle 2", "throttleFinally 2");
    }

    @Test
    void runThatWaitsForItsCallAndCannotEndInTimeIsCancelled() {
        server.settings.downstreamCallShare(0.5);
        server.receive(9, LOOKUP);
        server.requestCall(9);
        server.now = Duration.ofMillis(100);
        server.endCall(9, CallOutcome.Status.SUCCEEDED);
        server.endRun(9, RunOutcome.Status.SUCCEEDED);
        for (long id = 1; id <= 2; id++) {
            server.receive(id, LOOKUP);
            server.requestCall(id);
        }
        server.advanceTo(Duration.ofMillis(900));
        server.receive(3, READ);
        server.receive(4, READ);
        server.receive(5, READ);
        assertThat(server.advanceTo(Duration.ofMillis(1050)))
                .contains("throttleFinally 2", "stopRun 2")
                .doesNotContain("fail 2");
    }

    // Guards against memory that grows with the rate of a flood: each answered invocation left two
    // timers behind until its client's timeout.
    @Test
    void answeredInvocationsLeaveNoTimers() {
        Invocation old = invocation(1, READ).build();
        server.now = SECOND.multipliedBy(20);
        for (int i = 0; i < 1_000; i++) {
            assertThat(server.receive(old)).containsExactly("throttleFinally 1");
        }
        server.receive(2, ORDER);
        server.endRun(2, RunOutcome.Status.SUCCEEDED);
        for (long id = 3; id < 1_000; id++) {
            server.receiveRetry(id, ORDER, 2);
            server.endRun(id, RunOutcome.Status.SUCCEEDED);
        }
        assertThat(server.timerCount()).isLessThan(10);
    }

    @Test
    void retryOfRestoredRunWithUnknownOutcomeWaitsAndFailsWhenDue() {
        server.restore(-1, SECOND.multipliedBy(9), null);
        server.restore(-2, SECOND.multipliedBy(9), null);
        assertThat(server.receiveRetry(1, ORDER, -1)).isEmpty();
        assertThat(server.receiveRetry(2, ORDER, -2)).isEmpty();
        assertThat(server.restore(-1, SECOND.multipliedBy(9), RunOutcome.Status.SUCCEEDED))
                .containsExactly("replayResult 1");
        assertThat(server.advanceTo(SECOND.multipliedBy(4)))
                .contains("fail 2")
                .doesNotContain("throttle 2", "startRun 2");
    }
}
