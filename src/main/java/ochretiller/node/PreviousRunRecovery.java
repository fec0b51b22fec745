package ochretiller.node;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.logging.Logger;
import ochretiller.admission.AdmissionController;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.idempotency.RestoredAttempt;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.RecoveryDecision;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.RunOutcome.Status;
import ochretiller.processor.ProcessorClient;
import ochretiller.server.ServerActions;

/**
 * Restores the keyed invocations of previous processes, so that their retries are recognized.
 * Retries of an invocation with a known outcome are replayed or failed. A run that the processor
 * may still execute is adopted: its retries wait until the processor reports the outcome.
 *
 * <p>Event loop thread only.
 */
final class PreviousRunRecovery {
    private static final Logger LOG = Logger.getLogger(PreviousRunRecovery.class.getName());

    private final AdmissionController admission;
    private final ServerActions actions;
    private final IdempotencyCache cache;
    private final ProcessorClient processor;
    private final OperatorFeatures features;

    /** Request ids of the adopted runs whose outcome has not been reported. */
    private final Set<String> adoptedRequestIds = new HashSet<>();

    /** Last id of a restored invocation. These count down from -1, new ones count up from 1. */
    private long lastId;

    PreviousRunRecovery(
            AdmissionController admission,
            ServerActions actions,
            IdempotencyCache cache,
            ProcessorClient processor,
            OperatorFeatures features) {
        this.admission = admission;
        this.actions = actions;
        this.cache = cache;
        this.processor = processor;
        this.features = features;
    }

    /**
     * Restores all records of previous processes; to be called before any request is handled.
     *
     * @param processorAge time since the start of the processor
     */
    void restore(Map<String, Operation> operations, Duration processorAge) {
        for (IdempotencyRecord record : features.idempotencyStore().takePreviousRuns()) {
            Operation operation = operations.get(record.operation());
            // An operation that is no longer configured gets no retries either.
            if (operation != null && operation.isKeyed()) {
                restore(record, operation, processorAge);
            }
        }
    }

    private void restore(IdempotencyRecord record, Operation operation, Duration processorAge) {
        lastId--;
        InvocationId id = new InvocationId(lastId);
        RecoveryDecision decision = decide(record, operation, processorAge);
        boolean isOutcomePending = decision == RecoveryDecision.AWAIT_OUTCOME;
        Duration windowEnd =
                actions.now().plus(features.idempotencyStore().remainingWindow(record));
        cache.restore(
                new RestoredAttempt(
                        id, operation, record.token(), record.bodyDigest(), !isOutcomePending),
                windowEnd);
        Status knownStatus =
                switch (decision) {
                    case REPLAY -> Status.SUCCEEDED;
                    case REJECT -> Status.FAILED;
                    case AWAIT_OUTCOME -> null;
                };
        admission.onEntryRestored(id, windowEnd, knownStatus).execute(actions);
        if (isOutcomePending) {
            adopt(record, operation, id, windowEnd);
        }
    }

    private RecoveryDecision decide(
            IdempotencyRecord record, Operation operation, Duration processorAge) {
        RecoveryDecision decision =
                features.idempotencyStore().recoveryDecision(record, processorAge);
        // The processor reports outcomes to a new process; a worker has sent its answer on the
        // connection of the previous process only.
        boolean isPooled = features.pools().poolOf(operation).isPresent();
        return decision == RecoveryDecision.AWAIT_OUTCOME && isPooled
                ? RecoveryDecision.REJECT
                : decision;
    }

    private void adopt(
            IdempotencyRecord record, Operation operation, InvocationId id, Duration windowEnd) {
        adoptedRequestIds.add(record.runId());
        processor.resumeRun(
                record.runId(),
                record.operation(),
                (status, elapsed, result) -> {
                    adoptedRequestIds.remove(record.runId());
                    LOG.info(
                            () ->
                                    "run "
                                            + record.runId()
                                            + " of a previous process ended: "
                                            + status.externalName());
                    // The processor may have executed a run that it no longer knows.
                    Status outcome = status == Status.NEVER_STARTED ? Status.FAILED : status;
                    features.idempotencyStore()
                            .onPreviousRunFinished(
                                    record,
                                    operation,
                                    outcome,
                                    result,
                                    () -> {
                                        cache.complete(
                                                id, resultToCache(outcome, result), actions.now());
                                        admission
                                                .onEntryRestored(id, windowEnd, outcome)
                                                .execute(actions);
                                    });
                });
    }

    private static Optional<byte[]> resultToCache(Status outcome, byte[] result) {
        return outcome == Status.SUCCEEDED ? Optional.of(result) : Optional.empty();
    }

    /**
     * Returns whether a previous process started a run with this request id and its outcome has not
     * been reported.
     */
    boolean isAdopted(String requestId) {
        return adoptedRequestIds.contains(requestId);
    }
}
