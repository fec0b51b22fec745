package ochretiller.node;

import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.model.Operation;
import ochretiller.model.RunOutcome;

/**
 * The outcome of a run whose marker is in the store.
 *
 * @param marker the in-flight marker
 * @param operation the operation that was run
 * @param status how the run ended
 * @param result the result of a successful run; ignored otherwise
 */
record FinishedRun(
        IdempotencyRecord marker, Operation operation, RunOutcome.Status status, byte[] result) {}
