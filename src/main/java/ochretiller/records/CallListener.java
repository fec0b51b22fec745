package ochretiller.records;

import ochretiller.model.CallOutcome;

/** Told of the end of a call, once, on the event loop. */
@FunctionalInterface
public interface CallListener {
    /**
     * The call is over.
     *
     * @param outcome how it ended and how long it took
     * @param reply the reply's bytes; empty unless the call succeeded
     */
    void onCallFinished(CallOutcome outcome, byte[] reply);
}
