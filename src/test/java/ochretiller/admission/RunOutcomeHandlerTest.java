package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static ochretiller.admission.SampleOperations.ORDER;
import static org.assertj.core.api.Assertions.assertThat;

import ochretiller.model.RunOutcome.Status;
import org.junit.jupiter.api.Test;

class RunOutcomeHandlerTest {
    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void runThatWasNotDispatchedIsRejectedAndItsRetryRunsInItsPlace() {
        server.receive(1, ORDER);
        assertThat(server.receiveRetry(2, ORDER, 1)).isEmpty();
        assertThat(server.endRun(1, Status.NOT_DISPATCHED))
                .containsExactly("removeEntry 1", "putEntry 2", "throttle 1", "startRun 2");
        server.receiveRetry(3, ORDER, 2);
        server.acceptsIdempotencyEntries = false;
        assertThat(server.endRun(2, Status.NOT_DISPATCHED))
                .hasSize(3)
                .allMatch(
                        action -> action.matches("removeEntry 2|(throttle|throttleFinally) [23]"));
        assertThat(server.lastRetryAfter).isPositive();
    }

    @Test
    void runThatWasNotDispatchedIsNotAnsweredIfItsClientHasDisconnected() {
        server.receive(1, ORDER);
        server.disconnectClient(1);
        assertThat(server.endRun(1, Status.NOT_DISPATCHED)).containsExactly("removeEntry 1");
    }

    @Test
    void retryOfRestoredRunIsReplayedOrFailedAndNeverRuns() {
        server.restore(-1, SECOND.multipliedBy(9), Status.SUCCEEDED);
        server.restore(-2, SECOND.multipliedBy(9), Status.FAILED);
        assertThat(server.receiveRetry(1, ORDER, -1)).containsExactly("replayResult 1");
        assertThat(server.receiveRetry(2, ORDER, -2)).containsExactly("fail 2");
    }
}
