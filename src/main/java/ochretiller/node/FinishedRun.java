package ochretiller.node;

import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.model.Operation;
import ochretiller.model.RunOutcome;

/**
 * What became of a run whose marker is in the store.
 *
 * @param marker the marker
 * @param status what came of the run
 * @param result the result of a run that has succeeded; of no meaning otherwise
 */
record FinishedRun(
        IdempotencyRecord marker, Operation operation, RunOutcome.Status status, byte[] result) {}
