package ochretiller.node;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import ochretiller.admission.AdmissionController;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;

/**
 * Handles requests once the processor is available: reports each event to the admission controller
 * and executes the returned actions. Event loop thread only.
 */
final class AdmissionSession implements RequestHandler {
    /** A retry that still conflicts with its original after this time gets an error. */
    private static final Duration CONFLICT_WAIT = Duration.ofSeconds(1);

    private final ServerResources resources;
    private final AdmissionController admission;
    private final AdmissionClock clock;
    private final IdempotencyCache cache;

    /** Retries that conflict with their original, and are to be compared with it again. */
    private final AttemptTimers conflictTimers;

    private final AttemptTable attempts;
    private final ServerActions actions;
    private final PreviousRunRecovery recovery;

    /**
     * Creates a session; {@link #start} starts it.
     *
     * @param processorAge time since the start of the processor
     */
    AdmissionSession(
            ServerResources resources,
            OperatorFeatures features,
            AdmissionController admission,
            IdempotencyCache cache,
            Duration processorAge) {
        this.resources = resources;
        this.admission = admission;
        this.cache = cache;
        clock = new AdmissionClock(resources.scheduler(), processorAge);
        conflictTimers = new AttemptTimers(resources.scheduler(), this::recheckConflict);
        attempts = new AttemptTable(resources.connections(), cache, clock, conflictTimers);
        actions = new ServerActionsAdapter(resources, features, clock, cache, attempts);
        recovery =
                new PreviousRunRecovery(admission, actions, cache, resources.processor(), features);
    }

    /** Starts the admission controller and restores the runs of previous processes. */
    void start(Map<String, Operation> operations, Duration processorAge) {
        execute(admission.onStarted());
        recovery.restore(operations, processorAge);
    }

    private void execute(Action action) {
        action.execute(actions);
    }

    @Override
    public boolean isKnownRetry(RequestAttempt attempt) {
        return attempt.token != null && cache.findByToken(attempt.token).isPresent();
    }

    @Override
    public void onRequestRead(RequestAttempt attempt) {
        Optional<InvocationId> original =
                cache.findOriginalOrTrack(attempts.toCacheAttempt(attempt), clock.now());
        boolean conflicts = original.isPresent() && conflicts(attempt, original.get());
        if (recovery.isAdopted(attempt.requestId)) {
            // Otherwise it would be answered with the result of the adopted run.
            resources.connections().fail(attempt, FailureReason.RID_IN_USE);
            return;
        }
        if (conflicts && cache.isCompleted(original.get())) {
            resources.connections().fail(attempt, FailureReason.BODY_MISMATCH);
            return;
        }
        attempts.add(attempt, original);
        if (conflicts) {
            // Another client may have used the key first: if the processor rejects that request
            // without running it, this one may run.
            conflictTimers.add(attempt, CONFLICT_WAIT);
        }
        execute(admission.onInvocationReceived(invocation(attempt, original)));
    }

    private boolean conflicts(RequestAttempt attempt, InvocationId original) {
        return cache.conflictsWith(original, attempt.operation, attempt.body);
    }

    private Invocation invocation(RequestAttempt attempt, Optional<InvocationId> original) {
        Duration arrivedAt = clock.toAdmissionTime(attempt.arrivedAt);
        return new Invocation(
                attempt.id,
                original.orElse(null),
                attempt.operation,
                attempt.memoryKb,
                arrivedAt,
                arrivedAt.plus(attempt.operation.clientTimeout()),
                null,
                new ClientId(attempt.clientId),
                null,
                false);
    }

    private void recheckConflict(RequestAttempt attempt) {
        Optional<InvocationId> original = attempts.originalOf(attempt);
        if (!attempt.isAnswered() && original.isPresent() && conflicts(attempt, original.get())) {
            resources.connections().fail(attempt, FailureReason.BODY_MISMATCH);
            onClientDisconnected(attempt);
        }
    }

    @Override
    public void onClientDisconnected(RequestAttempt attempt) {
        execute(admission.onClientDisconnected(attempt.id));
        attempts.forgetIfDone(attempt);
    }

    @Override
    public void onShutdownNotice(Duration killAfter) {
        execute(admission.onShutdownNotice(clock.now().plus(killAfter)));
    }

    /** Handles a run's request for a call to the records service; the run waits for the reply. */
    void onCallRequested(String requestId, byte[] body) {
        if (recovery.isAdopted(requestId)) {
            // The previous process may have made the call, and a call must not be executed twice.
            resources.processor().cancelRun(requestId);
            return;
        }
        RequestAttempt attempt = resources.connections().findAttempt(requestId);
        if (attempt != null) {
            attempts.putCallBody(attempt, body);
            execute(admission.onCallRequested(attempt.id));
        }
    }
}
