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
 * Port to what is stored of keyed invocations beyond the life of this process: a marker before a
 * run starts, and the result after it. All methods are called on the event loop thread, and so are
 * the listeners.
 */
interface IdempotencyStore {
    /** Starts to write. Nothing is written before. */
    void start();

    /** Returns whether the marker of a new keyed invocation would be stored now. */
    boolean acceptsNewMarkers();

    /**
     * Stores the in-flight marker of an invocation that is about to run. One that is not keyed
     * needs none.
     */
    void writeMarker(RequestAttempt attempt, MarkerListener listener);

    /**
     * Stores the outcome of a run.
     *
     * @param result the result of a run that has succeeded; ignored otherwise
     * @param onStored called once, as soon as the client may be answered: perhaps at once, and in
     *     time for its deadline even where the disk does not keep up
     */
    void onRunFinished(
            RequestAttempt attempt, RunOutcome.Status status, byte[] result, Runnable onStored);

    /**
     * Reads the result that is stored under an idempotency key, and hands it over later; empty if
     * there is none.
     */
    void readResult(String token, Consumer<Optional<byte[]>> onRead);

    /**
     * Returns what previous processes have left under a key. It is found until {@link
     * #takePreviousRuns} is called.
     */
    Optional<IdempotencyRecord> findPreviousRun(String token);

    /**
     * Hands over everything that previous processes have left, ordered by the end of its window.
     */
    List<IdempotencyRecord> takePreviousRuns();

    /**
     * Decides how retries of a previous run are answered, given how long ago the processor was
     * started.
     */
    RecoveryDecision recoveryDecision(IdempotencyRecord previous, Duration processorAge);

    /** Returns the time from now until the end of a record's window; negative if it is over. */
    Duration remainingWindow(IdempotencyRecord previous);

    /**
     * Stores the outcome of a run that a previous process has started; otherwise as {@link
     * #onRunFinished}.
     */
    void onPreviousRunFinished(
            IdempotencyRecord previous,
            Operation operation,
            RunOutcome.Status status,
            byte[] result,
            Runnable onStored);

    /** Writes what is due and closes the files. */
    void close();
}
