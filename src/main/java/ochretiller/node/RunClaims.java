package ochretiller.node;

import java.util.function.Consumer;
import ochretiller.frontend.RequestAttempt;
import ochretiller.model.RunOutcome;

/**
 * Port to the fleet's claims on idempotency keys, by which a keyed invocation runs on one server
 * only. Event loop thread.
 */
interface RunClaims {
    /** Claims the key of an invocation that is about to run. */
    void claim(RequestAttempt attempt, ClaimListener listener);

    /** Gives a claim back whose run was never started. Does nothing where none is held. */
    void release(RequestAttempt attempt);

    /**
     * Stores the outcome of a run in the fleet.
     *
     * @param result the result of a run that has succeeded; ignored otherwise
     * @param onStored called once, with whether the client may be told the outcome: false if a
     *     result could not be stored where a retry at another server would find it
     */
    void onRunFinished(
            RequestAttempt attempt,
            RunOutcome.Status status,
            byte[] result,
            Consumer<Boolean> onStored);
}
