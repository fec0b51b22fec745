package ochretiller.node;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import java.util.logging.Logger;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.model.CallOutcome;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.ResourceGauges;
import ochretiller.model.RunOutcome;
import ochretiller.server.Action;
import ochretiller.server.ServerActions;

/**
 * Executes the actions of the admission controller on this server: each method delegates to the
 * component that performs the action, and executes the action that the continuation returns. Event
 * loop thread only.
 */
final class ServerActionsAdapter implements ServerActions {
    private static final Logger LOG = Logger.getLogger(ServerActionsAdapter.class.getName());

    private final ServerResources resources;
    private final OperatorFeatures features;
    private final AdmissionClock clock;
    private final IdempotencyCache cache;
    private final AttemptTable attempts;
    private final InvocationExecutor executor;
    private final ResultReplayer replayer;

    ServerActionsAdapter(
            ServerResources resources,
            OperatorFeatures features,
            AdmissionClock clock,
            IdempotencyCache cache,
            AttemptTable attempts) {
        this.resources = resources;
        this.features = features;
        this.clock = clock;
        this.cache = cache;
        this.attempts = attempts;
        this.executor = new InvocationExecutor(resources, features, attempts, cache, clock);
        this.replayer = new ResultReplayer(resources, features.idempotencyStore(), attempts, cache);
    }

    @Override
    public Duration now() {
        return clock.now();
    }

    @Override
    public void startRun(InvocationId id, Function<RunOutcome, Action> onOutcome) {
        executor.execute(attempts.get(id), outcome -> onOutcome.apply(outcome).execute(this));
    }

    @Override
    public void stopRun(InvocationId id) {
        attempts.find(id).ifPresent(executor::cancel);
    }

    @Override
    public void startCall(
            InvocationId id, Duration timeout, Function<CallOutcome, Action> onOutcome) {
        RequestAttempt attempt = attempts.get(id);
        resources
                .records()
                .call(
                        attempt.requestId,
                        timeout,
                        attempts.callBody(attempt),
                        (outcome, reply) -> {
                            if (outcome.status() == CallOutcome.Status.SUCCEEDED) {
                                attempts.removeCallBody(attempt);
                                resources.processor().replyToCall(attempt.requestId, reply);
                            }
                            onOutcome.apply(outcome).execute(this);
                        });
    }

    @Override
    public void skipCall(InvocationId id) {
        // Unreachable with a real server's settings: the processor protocol has no message for it.
        LOG.warning("cannot skip the call of invocation " + id.value() + ": not supported");
    }

    @Override
    public String poolOf(Operation operation) {
        return features.pools().poolOf(operation).orElse(null);
    }

    @Override
    public int poolCapacity(String pool) {
        return features.pools().capacity(pool);
    }

    @Override
    public int freePoolSlots(String pool) {
        return features.pools().freeSlots(pool);
    }

    @Override
    public void replayResult(InvocationId id, Function<RunOutcome, Action> onOutcome) {
        replayer.replay(attempts.get(id), outcome -> onOutcome.apply(outcome).execute(this));
    }

    @Override
    public void throttle(InvocationId id, Duration retryAfter, boolean isFinal) {
        Optional<RequestAttempt> found = attempts.find(id);
        if (found.isPresent()) {
            resources.connections().throttle(found.get(), retryAfter, isFinal);
            attempts.forgetIfDone(found.get());
        }
    }

    @Override
    public void fail(InvocationId id) {
        Optional<RequestAttempt> found = attempts.find(id);
        if (found.isPresent()) {
            resources.connections().fail(found.get(), failureReason(found.get()));
            attempts.forgetIfDone(found.get());
        }
    }

    private FailureReason failureReason(RequestAttempt attempt) {
        Optional<InvocationId> original = attempts.originalOf(attempt);
        if (!attempt.operation.isKeyed() || original.isEmpty()) {
            return FailureReason.DEADLINE_EXCEEDED;
        }
        return cache.isCompleted(original.get()) ? FailureReason.FAILED : FailureReason.IN_FLIGHT;
    }

    @Override
    public boolean acceptsIdempotencyEntries() {
        return features.idempotencyStore().acceptsNewMarkers();
    }

    @Override
    public void putIdempotencyEntry(InvocationId id, Duration window) {
        RequestAttempt attempt = attempts.get(id);
        cache.track(attempts.toCacheAttempt(attempt), attempt.body, clock.now().plus(window));
    }

    @Override
    public void removeIdempotencyEntry(InvocationId id) {
        cache.discard(id);
    }

    @Override
    public void schedule(Duration delay, Function<ResourceGauges, Action> onTimer) {
        resources
                .scheduler()
                .runAfter(
                        delay,
                        () -> {
                            onTimer.apply(resources.processor().gauges()).execute(this);
                            resources.processor().requestGauges(); // for the next timer
                        });
    }

    @Override
    public void setHealth(boolean healthy, boolean answersDeepChecks) {
        resources.health().setStatus(healthy, answersDeepChecks);
    }

    @Override
    public void advertiseCapacity(double value) {
        resources.health().advertise(value);
    }

    @Override
    public void setIdleTimeout(Duration timeout) {
        resources.connections().setIdleTimeout(timeout);
    }

    @Override
    public void logNote(String text) {
        LOG.info(text);
    }
}
