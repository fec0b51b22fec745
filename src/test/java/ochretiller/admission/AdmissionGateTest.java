package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static ochretiller.admission.InvocationBuilder.invocation;
import static ochretiller.admission.SampleOperations.ORDER;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.Invocation;
import ochretiller.model.RunOutcome.Status;
import org.junit.jupiter.api.Test;

/** Tests the decisions on invocations that have not run, in particular on retries. */
class AdmissionGateTest {
    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void keyedInvocationGetsItsEntryWhenReadAndRuns() {
        assertThat(server.receive(1, ORDER)).containsExactly("putEntry 1", "startRun 1");
    }

    @Test
    void keyedInvocationGetsItsEntryWhileQueued() {
        server.occupyBothCores();
        assertThat(server.receive(1, ORDER)).containsExactly("putEntry 1");
    }

    @Test
    void retryOfRunningAttemptWaitsAndIsReplayed() {
        server.receive(1, ORDER);
        assertThat(server.receiveRetry(2, ORDER, 1)).isEmpty();
        assertThat(server.endRun(1, Status.SUCCEEDED)).containsExactly("replayResult 2");
    }

    @Test
    void retryOfSucceededAttemptIsReplayedAtOnce() {
        server.receive(1, ORDER);
        server.endRun(1, Status.SUCCEEDED);
        assertThat(server.receiveRetry(2, ORDER, 1)).containsExactly("replayResult 2");
    }

    @Test
    void retryOfFailedRunIsFailedAndNeverRuns() {
        server.receive(1, ORDER);
        server.endRun(1, Status.FAILED);
        assertThat(server.receiveRetry(2, ORDER, 1)).containsExactly("fail 2");
    }

    @Test
    void retryOfStoppedRunIsFailed() {
        server.receive(1, ORDER);
        server.receiveRetry(2, ORDER, 1);
        assertThat(server.endRun(1, Status.STOPPED)).containsExactly("fail 2");
    }

    @Test
    void retryOfRunThatNeverStartedRunsInItsPlace() {
        server.receive(1, ORDER);
        server.receiveRetry(2, ORDER, 1);
        assertThat(server.endRun(1, Status.NEVER_STARTED))
                .containsExactly("removeEntry 1", "putEntry 2", "startRun 2");
    }

    @Test
    void retryOfUnknownAttemptIsReplayed() {
        assertThat(server.receiveRetry(2, ORDER, 1)).containsExactly("replayResult 2");
    }

    @Test
    void retryOfAttemptThatNeverRanIsAdmittedInItsPlace() {
        server.occupyBothCores();
        server.receive(1, ORDER);
        server.receiveRetry(2, ORDER, 1);
        assertThat(server.disconnectClient(1)).containsExactly("removeEntry 1", "putEntry 2");
    }

    @Test
    void retryOfAbandonedAttemptMayRun() {
        server.occupyBothCores();
        server.receive(1, ORDER);
        server.disconnectClient(1);
        server.endRun(101, Status.SUCCEEDED);
        assertThat(server.receiveRetry(2, ORDER, 1)).containsExactly("putEntry 2", "startRun 2");
    }

    @Test
    void secondRetryOfDiscardedAttemptWaitsForTheFirst() {
        server.occupyBothCores();
        server.receive(1, ORDER);
        server.receiveRetry(2, ORDER, 1);
        server.receiveRetry(3, ORDER, 1);
        server.disconnectClient(1);
        server.endRun(101, Status.SUCCEEDED);
        assertThat(server.endRun(2, Status.SUCCEEDED)).contains("replayResult 3");
    }

    @Test
    void fullTableRejectsNewKeyedInvocationBeforeItRuns() {
        server.settings.idempotencyEntryKb(3_000);
        server.receive(1, ORDER);
        assertThat(server.receive(2, ORDER)).containsExactly("throttle 2");
        assertThat(server.receive(3, READ)).containsExactly("startRun 3");
    }

    @Test
    void keyedInvocationIsRejectedAndOthersRunWhileNoEntryIsAccepted() {
        server.acceptsIdempotencyEntries = false;
        assertThat(server.receive(1, ORDER)).containsExactly("throttle 1");
        assertThat(server.receive(2, READ)).containsExactly("startRun 2");
        server.acceptsIdempotencyEntries = true;
        assertThat(server.receive(3, ORDER)).containsExactly("putEntry 3", "startRun 3");
        server.acceptsIdempotencyEntries = false;
        server.endRun(3, Status.SUCCEEDED);
        assertThat(server.receiveRetry(4, ORDER, 3))
                .as("a retry needs no entry of its own")
                .containsExactly("replayResult 4");
    }

    @Test
    void invocationReadTooLateIsRejectedAndGetsNoEntry() {
        Invocation old = invocation(1, ORDER).build();
        server.now = SECOND.multipliedBy(20);
        assertThat(server.receive(old)).containsExactly("throttleFinally 1");
    }

    // Guards against a retry that is forgotten by its client, yet admitted later: its host then no
    // longer knows it.
    @Test
    void abandonedRetryThatWaitedForASecondAttemptIsNeverAdmitted() {
        server.occupyBothCores();
        server.receive(1, ORDER);
        server.receiveRetry(2, ORDER, 1);
        server.receiveRetry(3, ORDER, 1);
        assertThat(server.disconnectClient(1)).containsExactly("removeEntry 1", "putEntry 2");
        assertThat(server.disconnectClient(3)).isEmpty();
        assertThat(server.disconnectClient(2)).containsExactly("removeEntry 2");
    }

    // Guards against two runs of one order: of three waiting retries the first is too late, and the
    // other two were both admitted.
    @Test
    void onlyOneRetryIsAdmittedIfTheFirstOneIsTooLate() {
        server.now = SECOND.multipliedBy(10);
        server.occupyBothCores();
        server.receive(1, ORDER);
        Duration longAgo = server.now.minus(SECOND.multipliedBy(2));
        server.receive(invocation(2, ORDER).retryOf(1).arrivedAt(longAgo).build());
        server.receiveRetry(3, ORDER, 1);
        server.receiveRetry(4, ORDER, 1);
        assertThat(server.disconnectClient(1))
                .containsExactly("removeEntry 1", "throttleFinally 2", "putEntry 3");
    }
}
