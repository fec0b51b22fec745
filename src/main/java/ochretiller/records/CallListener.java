package ochretiller.records;

import ochretiller.model.CallOutcome;

/** Receives the outcome of a call. Called once, on the event loop. */
@FunctionalInterface
public interface CallListener {
    /**
     * Called when the call has ended.
     *
     * @param outcome the status and duration of the call
     * @param reply the reply's bytes; empty unless the call succeeded
     */
    void onCallFinished(CallOutcome outcome, byte[] reply);
}
