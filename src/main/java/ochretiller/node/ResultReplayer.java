package ochretiller.node;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.model.InvocationId;
import ochretiller.model.RunOutcome;

/**
 * Answers retries with the results of their original attempts, read from memory or from the store.
 * Event loop thread only.
 */
final class ResultReplayer {
    private final ServerResources resources;
    private final IdempotencyStore store;
    private final AttemptTable attempts;
    private final IdempotencyCache cache;

    ResultReplayer(
            ServerResources resources,
            IdempotencyStore store,
            AttemptTable attempts,
            IdempotencyCache cache) {
        this.resources = resources;
        this.store = store;
        this.attempts = attempts;
        this.cache = cache;
    }

    /**
     * Answers a retry when the result of its original attempt is known.
     *
     * @param onOutcome receives the outcome once, never before this method has returned
     */
    void replay(RequestAttempt retry, Consumer<RunOutcome> onOutcome) {
        // By key: if a keyed original never ran, another attempt may have become the original.
        Optional<InvocationId> original =
                retry.token == null ? attempts.originalOf(retry) : cache.findByToken(retry.token);
        Optional<InvocationId> matching =
                original.filter(id -> !cache.conflictsWith(id, retry.operation, retry.body));
        cache.whenCompleted(
                matching,
                result -> {
                    if (result.isEmpty() && matching.isPresent() && retry.token != null) {
                        // The result did not fit in memory, or a previous process ran the original.
                        store.readResult(retry.token, stored -> answer(retry, stored, onOutcome));
                    } else {
                        // Posted, since the admission controller is still handling the arrival.
                        resources.scheduler().post(() -> answer(retry, result, onOutcome));
                    }
                });
    }

    private void answer(
            RequestAttempt retry, Optional<byte[]> result, Consumer<RunOutcome> onOutcome) {
        if (result.isPresent()) {
            resources.connections().succeed(retry, result.get(), true);
        } else {
            resources.connections().fail(retry, FailureReason.RESULT_LOST);
        }
        RunOutcome.Status status =
                result.isPresent() ? RunOutcome.Status.SUCCEEDED : RunOutcome.Status.FAILED;
        onOutcome.accept(new RunOutcome(status, Duration.ZERO));
        attempts.forgetIfDone(retry);
    }
}
