package ochretiller.node;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.net.Scheduler;

/**
 * Handles requests before the processor is available. A retry of an invocation that a previous
 * process ran is answered from the store or waits for the processor; other requests are throttled,
 * since nothing can run yet. Event loop thread only.
 */
final class StartupRequestHandler implements RequestHandler {
    /** Time before its deadline at which a retry that waits for the processor gets an error. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(120);

    private final Scheduler scheduler;
    private final ClientConnections connections;
    private final IdempotencyStore store;

    /** Retries that wait for the processor, in the order of their arrival. */
    private final Set<RequestAttempt> waitingRetries = new LinkedHashSet<>();

    /** When retries that still wait get an error. */
    private final AttemptTimers deadlines;

    StartupRequestHandler(
            Scheduler scheduler, ClientConnections connections, IdempotencyStore store) {
        this.scheduler = scheduler;
        this.connections = connections;
        this.store = store;
        deadlines = new AttemptTimers(scheduler, this::onDeadline);
    }

    @Override
    public boolean isKnownRetry(RequestAttempt attempt) {
        return store.findPreviousRun(attempt.token).isPresent();
    }

    @Override
    public void onRequestRead(RequestAttempt attempt) {
        Optional<IdempotencyRecord> previous = store.findPreviousRun(attempt.token);
        if (previous.isPresent()) {
            onRetryRead(attempt, previous.get());
        } else {
            connections.throttle(attempt, Duration.ZERO, false);
        }
    }

    private void onRetryRead(RequestAttempt retry, IdempotencyRecord previous) {
        boolean isSameRequest =
                previous.operation().equals(retry.operation.name())
                        && previous.hasBodyDigest(IdempotencyCache.bodyDigest(retry.body));
        if (!isSameRequest) {
            fail(retry, FailureReason.BODY_MISMATCH);
            return;
        }
        switch (previous.progress()) {
            case ENDED_WITHOUT_RESULT -> fail(retry, FailureReason.FAILED);
            case SUCCEEDED -> store.readResult(retry.token, result -> answer(retry, result));
            case IN_FLIGHT -> awaitProcessor(retry);
            default -> throw new IllegalStateException("unknown progress " + previous.progress());
        }
    }

    private void answer(RequestAttempt retry, Optional<byte[]> result) {
        if (result.isPresent()) {
            connections.succeed(retry, result.get(), true);
            connections.removeAttempt(retry);
        } else {
            fail(retry, FailureReason.RESULT_LOST);
        }
    }

    private void awaitProcessor(RequestAttempt retry) {
        waitingRetries.add(retry);
        Duration deadline =
                retry.arrivedAt.plus(retry.operation.clientTimeout()).minus(ANSWER_MARGIN);
        Duration wait = deadline.minus(scheduler.now());
        deadlines.add(retry, wait.isNegative() ? Duration.ZERO : wait);
    }

    private void onDeadline(RequestAttempt retry) {
        waitingRetries.remove(retry);
        fail(retry, FailureReason.UNKNOWN_END);
    }

    private void fail(RequestAttempt retry, FailureReason reason) {
        connections.fail(retry, reason);
        connections.removeAttempt(retry);
    }

    /** Removes and returns the retries that wait for the processor. */
    List<RequestAttempt> takeWaitingRetries() {
        List<RequestAttempt> allWaiting = List.copyOf(waitingRetries);
        waitingRetries.clear();
        allWaiting.forEach(deadlines::remove);
        return allWaiting;
    }

    @Override
    public void onClientDisconnected(RequestAttempt attempt) {
        waitingRetries.remove(attempt);
        deadlines.remove(attempt);
        connections.removeAttempt(attempt);
    }

    @Override
    public void onShutdownNotice(Duration killAfter) {
        // there are no runs to wait for
    }
}
