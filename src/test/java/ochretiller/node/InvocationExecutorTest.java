package ochretiller.node;

import static ochretiller.node.AttemptFixture.ORDER;
import static ochretiller.node.AttemptFixture.READ;
import static ochretiller.node.ExecutionFakes.RESULT;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.model.Operation;
import ochretiller.model.RunOutcome.Status;
import ochretiller.node.ExecutionFakes.FakeClaims;
import ochretiller.node.ExecutionFakes.FakePools;
import ochretiller.node.ExecutionFakes.FakeRollout;
import ochretiller.node.ExecutionFakes.FakeStore;
import ochretiller.records.RecordsClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks the order of the steps of a run, including after each step that fails. */
class InvocationExecutorTest {
    private final List<String> events = new ArrayList<>();
    private final FakeClaims claims = new FakeClaims(events);
    private final FakeRollout rollout = new FakeRollout();
    private final FakePools pools = new FakePools(events);
    private AttemptFixture fixture;
    private FakeStore store;
    private AttemptTable attempts;
    private InvocationExecutor executor;

    @BeforeEach
    void start() throws Exception {
        fixture = new AttemptFixture(events);
        store = new FakeStore(fixture.loop, events);
        AdmissionClock clock = new AdmissionClock(fixture.loop, Duration.ZERO);
        IdempotencyCache cache = new IdempotencyCache(1_000, Duration.ZERO);
        AttemptTimers conflictTimers = new AttemptTimers(fixture.loop, attempt -> {});
        attempts = new AttemptTable(fixture.connections, cache, clock, conflictTimers);
        ServerResources resources =
                new ServerResources(
                        fixture.loop,
                        fixture.network,
                        fixture.connections,
                        null,
                        null,
                        new RecordsClient(fixture.loop, fixture.network, null, 1));
        OperatorFeatures features =
                new OperatorFeatures(
                        store,
                        claims,
                        rollout,
                        new NoAuditTrail(),
                        pools,
                        new NoFleet(),
                        Optional.empty());
        executor = new InvocationExecutor(resources, features, attempts, cache, clock);
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private RequestAttempt execute(Operation operation) {
        RequestAttempt attempt = fixture.receive(operation, "body");
        attempts.add(attempt, Optional.empty());
        executor.execute(attempt, outcome -> events.add("outcome " + outcome.status()));
        return attempt;
    }

    private void finishRun(Status status) {
        pools.listener.onRunFinished(status, Duration.ofMillis(20), RESULT);
    }

    @Test
    void keyedRunIsClaimedThenMarkedThenStarted() {
        execute(ORDER);
        assertThat(events).containsExactly("reserve", "claim");
        claims.listener.onClaimGranted();
        assertThat(events).containsExactly("reserve", "claim", "mark");
        store.listener.onMarkerDurable();
        assertThat(events).containsExactly("reserve", "claim", "mark", "start");
    }

    @Test
    void runThatIsNotKeyedIsNotClaimed() {
        execute(READ);
        assertThat(events).containsExactly("reserve", "mark");
    }

    @Test
    void outcomeIsReportedAtOnceAndAnswerWaitsForDiskAndFleet() {
        RequestAttempt attempt = startOrder();
        finishRun(Status.SUCCEEDED);
        assertThat(events)
                .containsExactly("store SUCCEEDED", "share SUCCEEDED", "outcome SUCCEEDED");
        store.onStored.run();
        assertThat(events).hasSize(3);
        assertThat(attempts.find(attempt.id)).isPresent();
        claims.onStored.accept(true);
        assertThat(events).last().isEqualTo("answer done");
        assertThat(attempts.find(attempt.id)).isEmpty();
        assertThat(fixture.connections.isRequestIdUsed(attempt.requestId)).isFalse();
    }

    @Test
    void resultThatTheFleetCannotStoreIsAnsweredWithAnError() {
        startOrder();
        finishRun(Status.SUCCEEDED);
        claims.onStored.accept(false);
        assertThat(events).last().isEqualTo("error UNKNOWN_END");
        store.onStored.run();
        assertThat(events).filteredOn(event -> event.startsWith("answer")).isEmpty();
    }

    @Test
    void runThatFailedIsAnsweredWithAnError() {
        startOrder();
        finishRun(Status.FAILED);
        claims.onStored.accept(true);
        store.onStored.run();
        assertThat(events)
                .containsExactly("store FAILED", "share FAILED", "outcome FAILED", "error FAILED");
    }

    @Test
    void deniedClaimAbandonsTheRunBeforeItIsMarked() {
        RequestAttempt attempt = execute(ORDER);
        claims.listener.onClaimDenied();
        assertThat(events).containsExactly("reserve", "claim", "cancel", "outcome NOT_DISPATCHED");
        assertThat(attempt.isRunning()).isFalse();
    }

    @Test
    void markerThatIsNotDurableReleasesTheClaim() {
        execute(ORDER);
        claims.listener.onClaimGranted();
        events.clear();
        store.listener.onMarkerFailed();
        assertThat(events).containsExactly("release", "cancel", "outcome NOT_DISPATCHED");
    }

    @Test
    void leaseLostDuringMarkerWriteRemovesMarkerAndReleasesClaim() {
        execute(ORDER);
        claims.listener.onClaimGranted();
        events.clear();
        rollout.hasLease = false;
        store.listener.onMarkerDurable();
        assertThat(events)
                .containsExactly(
                        "store NOT_DISPATCHED", "release", "cancel", "outcome NOT_DISPATCHED");
    }

    @Test
    void invocationWithoutLeaseIsNotClaimedAndItsOutcomeIsPosted() {
        rollout.hasLease = false;
        execute(ORDER);
        assertThat(events).containsExactly("reserve");
        fixture.loop.runPosted();
        assertThat(events).containsExactly("reserve", "cancel", "outcome NOT_DISPATCHED");
    }

    /** Guards against a queue whose runs end inside one another's start until the stack is full. */
    @Test
    void markerThatFailsAtOnceIsReportedAfterExecuteHasReturned() {
        claims.grantsAtOnce = true;
        store.failsAtOnce = true;
        RequestAttempt attempt = execute(ORDER);
        assertThat(events).containsExactly("reserve", "claim", "mark");
        assertThat(attempt.isRunning()).isTrue();
        fixture.loop.runPosted();
        assertThat(events)
                .containsExactly(
                        "reserve", "claim", "mark", "release", "cancel", "outcome NOT_DISPATCHED");
        assertThat(attempt.isRunning()).isFalse();
    }

    /** Guards against the same recursion through claims. */
    @Test
    void claimThatIsDeniedAtOnceIsReportedAfterExecuteHasReturned() {
        claims.deniesAtOnce = true;
        execute(ORDER);
        assertThat(events).containsExactly("reserve", "claim");
        fixture.loop.runPosted();
        assertThat(events).containsExactly("reserve", "claim", "cancel", "outcome NOT_DISPATCHED");
    }

    /** Guards against the same recursion through a lease that ends as a run is started. */
    @Test
    void leaseLostWhileARunIsStartedIsReportedAfterExecuteHasReturned() {
        claims.grantsAtOnce = true;
        store.isDurableAtOnce = true;
        rollout.losesLeaseAfterNextCheck = true;
        execute(ORDER);
        assertThat(events).containsExactly("reserve", "claim", "mark", "store NOT_DISPATCHED");
        fixture.loop.runPosted();
        assertThat(events)
                .endsWith("store NOT_DISPATCHED", "release", "cancel", "outcome NOT_DISPATCHED");
    }

    /** Guards against the same recursion through a backend, whose result must not be lost. */
    @Test
    void runThatFinishesAtOnceIsReportedAfterExecuteHasReturned() {
        claims.grantsAtOnce = true;
        store.isDurableAtOnce = true;
        pools.finishesAtOnce = true;
        execute(ORDER);
        assertThat(events).containsExactly("reserve", "claim", "mark", "start");
        fixture.loop.runPosted();
        assertThat(events).endsWith("store SUCCEEDED", "share SUCCEEDED", "outcome SUCCEEDED");
        store.onStored.run();
        claims.onStored.accept(true);
        assertThat(events).last().isEqualTo("answer done");
    }

    @Test
    void repeatedStepThrowsIllegalStateException() {
        startOrder();
        assertThatThrownBy(() -> store.listener.onMarkerDurable())
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("from EXECUTING to EXECUTING");
    }

    private RequestAttempt startOrder() {
        RequestAttempt attempt = execute(ORDER);
        claims.listener.onClaimGranted();
        store.listener.onMarkerDurable();
        events.clear();
        return attempt;
    }
}
