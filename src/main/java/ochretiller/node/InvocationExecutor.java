package ochretiller.node;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import ochretiller.execution.RunBackend;
import ochretiller.execution.RunRequest;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.model.RunOutcome;
import ochretiller.model.RunOutcome.Status;

/**
 * Executes admitted invocations. A keyed invocation is claimed in the fleet, then marked as in
 * flight on disk; after a last check of the lease on this server's version, a backend runs it. The
 * outcome is stored on disk and in the fleet before the client is answered. {@link RunState}
 * defines the order of these steps.
 *
 * <p>Event loop thread only.
 */
final class InvocationExecutor {
    private final ServerResources resources;
    private final OperatorFeatures features;
    private final AttemptTable attempts;
    private final IdempotencyCache cache;
    private final AdmissionClock clock;

    InvocationExecutor(
            ServerResources resources,
            OperatorFeatures features,
            AttemptTable attempts,
            IdempotencyCache cache,
            AdmissionClock clock) {
        this.resources = resources;
        this.features = features;
        this.attempts = attempts;
        this.cache = cache;
        this.clock = clock;
    }

    /**
     * Starts to execute an invocation.
     *
     * @param onOutcome receives the outcome once, never before this method has returned
     */
    void execute(RequestAttempt attempt, Consumer<RunOutcome> onOutcome) {
        Execution execution = new Execution(attempt, onOutcome);
        execution.start();
        execution.isStarted = true;
    }

    /** Asks the backend to stop a run; the backend still reports the outcome. */
    void cancel(RequestAttempt attempt) {
        backendOf(attempt).cancelRun(attempt.requestId);
    }

    private RunBackend backendOf(RequestAttempt attempt) {
        return features.pools().poolOf(attempt.operation).isPresent()
                ? features.pools().backend()
                : resources.processor();
    }

    /** The execution of one invocation. */
    private final class Execution implements ClaimListener, MarkerListener, RunBackend.RunListener {
        /** Each outcome is stored in two places: on disk and in the fleet. */
        private static final int OUTCOME_STORES = 2;

        private final RequestAttempt attempt;
        private final Consumer<RunOutcome> onOutcome;
        private RunState state = RunState.ADMITTED;

        /** Whether {@link InvocationExecutor#execute} has returned. */
        private boolean isStarted;

        private int pendingStores = OUTCOME_STORES;
        private boolean isOutcomeReported;

        Execution(RequestAttempt attempt, Consumer<RunOutcome> onOutcome) {
            this.attempt = attempt;
            this.onOutcome = onOutcome;
        }

        private void enter(RunState next) {
            if (!next.canFollow(state)) {
                throw new IllegalStateException(
                        "run " + attempt.requestId + " cannot go from " + state + " to " + next);
            }
            state = next;
        }

        void start() {
            attempt.setRunning(true);
            features.pools().reserveSlot(attempt.operation);
            if (!features.rollout().mayRun(attempt)) {
                afterStart(this::abandon);
            } else if (attempt.operation.isKeyed()) {
                enter(RunState.CLAIMING);
                features.claims().claim(attempt, this);
            } else {
                writeMarker();
            }
        }

        /**
         * Runs a step that reports the outcome, but not while {@link InvocationExecutor#execute} is
         * on the stack. A claim, a marker or a run may end within the call that starts it, and the
         * admission controller starts the next queued invocation when an outcome is reported:
         * without the detour over the event loop each queued invocation would be started inside the
         * start of the one before, until the stack is exhausted.
         */
        private void afterStart(Runnable step) {
            if (isStarted) {
                step.run();
            } else {
                resources.scheduler().post(step);
            }
        }

        @Override
        public void onClaimGranted() {
            writeMarker();
        }

        @Override
        public void onClaimDenied() {
            afterStart(this::abandon);
        }

        private void writeMarker() {
            enter(RunState.WRITING_MARKER);
            features.idempotencyStore().writeMarker(attempt, this);
        }

        @Override
        public void onMarkerDurable() {
            // Checked last, since the process may have been suspended since admission and lost its
            // lease or changed its version meanwhile.
            if (features.rollout().mayRun(attempt)) {
                dispatch();
                return;
            }
            features.idempotencyStore()
                    .onRunFinished(attempt, Status.NOT_DISPATCHED, null, () -> {});
            afterStart(this::abandonClaimed);
        }

        @Override
        public void onMarkerFailed() {
            afterStart(this::abandonClaimed);
        }

        private void abandonClaimed() {
            features.claims().release(attempt);
            abandon();
        }

        private void abandon() {
            enter(RunState.NOT_DISPATCHED);
            features.pools().cancelReservation(attempt.operation);
            attempt.setRunning(false);
            onOutcome.accept(new RunOutcome(Status.NOT_DISPATCHED, Duration.ZERO));
            attempts.forgetIfDone(attempt);
        }

        private void dispatch() {
            enter(RunState.EXECUTING);
            features.audit().recordRunStarted(attempt);
            resources.connections().markDispatched(attempt);
            RunRequest request =
                    new RunRequest(
                            attempt.requestId,
                            attempt.operation.name(),
                            attempt.body,
                            attempt.operation.isIdempotent(),
                            attempt.token,
                            attempt.arrivedAt.plus(attempt.operation.clientTimeout()));
            backendOf(attempt).startRun(request, this);
        }

        @Override
        public void onRunFinished(Status status, Duration elapsed, byte[] result) {
            afterStart(() -> finish(status, elapsed, result));
        }

        private void finish(Status status, Duration elapsed, byte[] result) {
            enter(RunState.STORING_OUTCOME);
            resources.records().cancel(attempt.requestId);
            // Both stores write concurrently; the answer waits for both.
            features.idempotencyStore()
                    .onRunFinished(attempt, status, result, () -> onOutcomeStored(status, result));
            features.claims()
                    .onRunFinished(
                            attempt,
                            status,
                            result,
                            stored -> {
                                if (!stored) {
                                    // A retry on another server might not find the result, so it
                                    // must not be reported as a success.
                                    resources
                                            .connections()
                                            .fail(attempt, FailureReason.UNKNOWN_END);
                                }
                                onOutcomeStored(status, result);
                            });
            // Reported before the answer is sent, since the backend has free capacity again.
            onOutcome.accept(new RunOutcome(status, elapsed));
            isOutcomeReported = true;
            attempts.forgetIfDone(attempt);
        }

        private void onOutcomeStored(Status status, byte[] result) {
            pendingStores--;
            if (pendingStores == 0) {
                answer(status, result);
            }
        }

        private void answer(Status status, byte[] result) {
            enter(RunState.ANSWERED);
            attempt.setRunning(false);
            if (status == Status.SUCCEEDED) {
                cache.complete(attempt.id, Optional.of(result), clock.now());
                resources.connections().succeed(attempt, result);
            } else if (status != Status.NOT_DISPATCHED) {
                // Includes runs that were stopped unasked: every client request gets an answer.
                resources.connections().fail(attempt, FailureReason.FAILED);
            }
            if (isOutcomeReported) {
                attempts.forgetIfDone(attempt);
            }
        }
    }
}
