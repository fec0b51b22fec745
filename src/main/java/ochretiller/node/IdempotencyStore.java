package ochretiller.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.RecoveryDecision;
import ochretiller.model.Operation;
import ochretiller.model.RunOutcome;

/**
 * Stores keyed invocations so that they survive a restart: an in-flight marker before the run
 * starts, and the result when it has finished. All methods and listeners are called on the event
 * loop thread.
 */
interface IdempotencyStore {
    /** Starts writing; nothing is written before. */
    void start();

    /** Returns whether the marker of a new keyed invocation would be accepted now. */
    boolean acceptsNewMarkers();

    /**
     * Stores the in-flight marker of an invocation that is about to run. One that is not keyed
     * needs none.
     *
     * @param listener called once, possibly before this method returns
     */
    void writeMarker(RequestAttempt attempt, MarkerListener listener);

    /**
     * Stores the outcome of a run.
     *
     * @param result the result of a successful run; ignored otherwise
     * @param onStored called once, when the client may be answered; possibly before this method
     *     returns, and in time for the client's deadline even if the disk is slow
     */
    void onRunFinished(
            RequestAttempt attempt, RunOutcome.Status status, byte[] result, Runnable onStored);

    /** Reads the result stored under a key and passes it on later; empty if there is none. */
    void readResult(String token, Consumer<Optional<byte[]>> onRead);

    /**
     * Returns the record that a previous process stored under a key; always empty after {@link
     * #takePreviousRuns}.
     */
    Optional<IdempotencyRecord> findPreviousRun(String token);

    /** Removes and returns all records of previous processes, in the order of their window ends. */
    List<IdempotencyRecord> takePreviousRuns();

    /**
     * Decides how retries of a previous run are answered.
     *
     * @param processorAge time since the start of the processor
     */
    RecoveryDecision recoveryDecision(IdempotencyRecord previous, Duration processorAge);

    /** Returns the time until the end of a record's window; negative if the window has ended. */
    Duration remainingWindow(IdempotencyRecord previous);

    /**
     * Stores the outcome of a run that a previous process started; otherwise like {@link
     * #onRunFinished}.
     */
    void onPreviousRunFinished(
            IdempotencyRecord previous,
            Operation operation,
            RunOutcome.Status status,
            byte[] result,
            Runnable onStored);

    /** Completes pending writes and closes the files. */
    void close();
}
