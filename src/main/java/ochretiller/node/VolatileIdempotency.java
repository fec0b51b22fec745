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
import ochretiller.net.Scheduler;

/** Stores nothing, so that no run or answer waits for a disk. Used if storage is not configured. */
class VolatileIdempotency implements IdempotencyStore {
    private final Scheduler scheduler;

    VolatileIdempotency(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    @Override
    public void start() {
        // there is nothing to write
    }

    @Override
    public boolean acceptsNewMarkers() {
        return true;
    }

    @Override
    public void writeMarker(RequestAttempt attempt, MarkerListener listener) {
        listener.onMarkerDurable();
    }

    @Override
    public void onRunFinished(
            RequestAttempt attempt, RunOutcome.Status status, byte[] result, Runnable onStored) {
        onStored.run();
    }

    @Override
    public void readResult(String token, Consumer<Optional<byte[]>> onRead) {
        scheduler.post(() -> onRead.accept(Optional.empty()));
    }

    @Override
    public Optional<IdempotencyRecord> findPreviousRun(String token) {
        return Optional.empty();
    }

    @Override
    public List<IdempotencyRecord> takePreviousRuns() {
        return List.of();
    }

    @Override
    public RecoveryDecision recoveryDecision(IdempotencyRecord previous, Duration processorAge) {
        throw noPreviousRuns();
    }

    @Override
    public Duration remainingWindow(IdempotencyRecord previous) {
        throw noPreviousRuns();
    }

    @Override
    public void onPreviousRunFinished(
            IdempotencyRecord previous,
            Operation operation,
            RunOutcome.Status status,
            byte[] result,
            Runnable onStored) {
        throw noPreviousRuns();
    }

    @Override
    public void close() {
        // nothing is open
    }

    private static IllegalStateException noPreviousRuns() {
        return new IllegalStateException("this server stores no records of previous runs");
    }
}
