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
 * Restores the keyed invocations of previous processes, so that their retries are recognised: those
 * with a known outcome are replayed or failed, those that the processor may still execute are
 * adopted until it reports their outcome.
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

    /** Request ids of adopted runs, whose outcomes are unknown. */
    private final Set<String> adopted = new HashSet<>();

    /**
     * Ids of new invocations count upwards from 1; those of previous ones count downwards from -1.
     */
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
     * Restores everything that previous processes have left; to be called before any request is
     * handled.
     */
    void restore(Map<String, Operation> operations, Duration processorAge) {
        for (IdempotencyRecord record : features.idempotencyStore().takePreviousRuns()) {
            Operation operation = operations.get(record.operation());
            // Retries of an operation that is not configured any more cannot be sent either.
            if (operation != null && operation.isKeyed()) {
                restore(record, operation, processorAge);
            }
        }
    }

    private void restore(IdempotencyRecord record, Operation operation, Duration processorAge) {
        lastId--;
        InvocationId id = new InvocationId(lastId);
        RecoveryDecision decision = decide(record, operation, processorAge);
        boolean awaited = decision == RecoveryDecision.AWAIT_OUTCOME;
        Duration windowEnd =
                actions.now().plus(features.idempotencyStore().remainingWindow(record));
        cache.restore(
                new RestoredAttempt(id, operation, record.token(), record.bodyDigest(), !awaited),
                windowEnd);
        Status known =
                switch (decision) {
                    case REPLAY -> Status.SUCCEEDED;
                    case REJECT -> Status.FAILED;
                    case AWAIT_OUTCOME -> null;
                };
        admission.onEntryRestored(id, windowEnd, known).execute(actions);
        if (awaited) {
            adopt(record, operation, id, windowEnd);
        }
    }

    private RecoveryDecision decide(
            IdempotencyRecord record, Operation operation, Duration processorAge) {
        RecoveryDecision decision =
                features.idempotencyStore().recoveryDecision(record, processorAge);
        // The processor reports outcomes to a new process; a worker's answer went to the connection
        // of the old one.
        boolean pooled = features.pools().poolOf(operation).isPresent();
        return decision == RecoveryDecision.AWAIT_OUTCOME && pooled
                ? RecoveryDecision.REJECT
                : decision;
    }

    private void adopt(
            IdempotencyRecord record, Operation operation, InvocationId id, Duration windowEnd) {
        adopted.add(record.runId());
        processor.adopt(
                record.runId(),
                record.operation(),
                (status, elapsed, result) -> {
                    adopted.remove(record.runId());
                    LOG.info(
                            () ->
                                    "the run "
                                            + record.runId()
                                            + " of a former process has ended: "
                                            + status.externalName());
                    // A run that the processor does not know any more may have had its effect all
                    // the same.
                    Status outcome = status == Status.NEVER_STARTED ? Status.FAILED : status;
                    features.idempotencyStore()
                            .onPreviousRunFinished(
                                    record,
                                    operation,
                                    outcome,
                                    result,
                                    () -> {
                                        cache.complete(id, cached(outcome, result), actions.now());
                                        admission
                                                .onEntryRestored(id, windowEnd, outcome)
                                                .execute(actions);
                                    });
                });
    }

    private static Optional<byte[]> cached(Status outcome, byte[] result) {
        return outcome == Status.SUCCEEDED ? Optional.of(result) : Optional.empty();
    }

    /**
     * Returns whether a run with this request id was started by a previous process and has not
     * ended.
     */
    boolean isAdopted(String requestId) {
        return adopted.contains(requestId);
    }
}
