package ochretiller.node;

import java.util.function.Consumer;
import ochretiller.frontend.RequestAttempt;
import ochretiller.model.RunOutcome;

/**
 * Claims on idempotency keys in the fleet, which ensure that a keyed invocation runs on one server
 * only. Event loop thread.
 */
interface RunClaims {
    /**
     * Claims the key of an invocation that is about to run.
     *
     * @param listener called once, possibly before this method returns
     */
    void claim(RequestAttempt attempt, ClaimListener listener);

    /** Releases the claim of a run that was not started; does nothing if there is no claim. */
    void release(RequestAttempt attempt);

    /**
     * Stores the outcome of a run in the fleet.
     *
     * @param result the result of a successful run; ignored otherwise
     * @param onStored called once; false if the result could not be stored where a retry on another
     *     server would find it, so that the client must not receive it
     */
    void onRunFinished(
            RequestAttempt attempt,
            RunOutcome.Status status,
            byte[] result,
            Consumer<Boolean> onStored);
}
