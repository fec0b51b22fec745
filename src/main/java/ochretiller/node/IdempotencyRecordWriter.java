package ochretiller.node;

import java.time.Duration;
import ochretiller.idempotency.durable.DurabilityPolicy;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.InvocationProgress;
import ochretiller.model.Operation;
import ochretiller.net.Scheduler;
import ochretiller.store.AppendResult;
import ochretiller.store.Store;

/**
 * Writes markers and outcomes of keyed invocations. Those who wait for a write are released by the
 * store's answer or by a time-out, whichever comes first; what the disk has not taken is written
 * later. Event loop thread only.
 */
final class IdempotencyRecordWriter {
    private static final byte[] NO_VALUE = {};

    private final Scheduler scheduler;
    private final Store store;
    private final DurabilityPolicy policy;
    private final DeferredWrites deferredWrites;
    private final DurabilityMetrics metrics;
    private long appends;

    IdempotencyRecordWriter(
            Scheduler scheduler,
            Store store,
            DurabilityPolicy policy,
            DeferredWrites deferredWrites,
            DurabilityMetrics metrics) {
        this.scheduler = scheduler;
        this.store = store;
        this.policy = policy;
        this.deferredWrites = deferredWrites;
        this.metrics = metrics;
    }

    /**
     * Writes the marker of a run that is about to start.
     *
     * @param deadline when the client waits no longer
     */
    void writeMarker(
            IdempotencyRecord marker,
            Operation operation,
            Duration deadline,
            MarkerListener listener) {
        new MarkerWrite(marker, operation, listener).start(deadline);
    }

    /**
     * Writes what became of a run.
     *
     * @param deadline when the client waits no longer
     * @param onStored called once, as soon as the client may be answered
     */
    void writeOutcome(FinishedRun run, Duration deadline, Runnable onStored) {
        switch (run.status()) {
            case SUCCEEDED -> new ResultWrite(run, onStored).start(deadline);
            case NEVER_STARTED, NOT_DISPATCHED -> {
                remove(run.marker(), run.operation());
                onStored.run();
            }
            default -> {
                putOutcome(
                        run.marker().withProgress(InvocationProgress.ENDED_WITHOUT_RESULT),
                        run.operation(),
                        NO_VALUE);
                onStored.run(); // the marker alone keeps the key from running again
            }
        }
    }

    private final class MarkerWrite {
        private final IdempotencyRecord marker;
        private final Operation operation;
        private final MarkerListener listener;
        private boolean settled;

        MarkerWrite(IdempotencyRecord marker, Operation operation, MarkerListener listener) {
            this.marker = marker;
            this.operation = operation;
            this.listener = listener;
        }

        void start(Duration deadline) {
            Duration now = scheduler.now();
            long append = startAppend(now);
            long expiry = expiryMillis(marker, operation);
            store.putNew(
                    marker.encodeKey(),
                    marker.encodeMetadata(),
                    NO_VALUE,
                    expiry,
                    result -> {
                        policy.appendCompleted(append);
                        onAppended(result);
                    });
            scheduler.after(policy.markerTimeout(deadline, now), this::onTimeout);
        }

        private void onAppended(AppendResult result) {
            boolean timedOut = settled;
            settled = true;
            if (result == AppendResult.DURABLE && !timedOut) {
                listener.onMarkerDurable();
                return;
            }
            if (result == AppendResult.DURABLE || result == AppendResult.UNKNOWN) {
                // The invocation does not run: its marker must not stop a retry after a restart.
                remove(marker, operation);
            }
            if (!timedOut) {
                listener.onMarkerFailed();
            }
        }

        private void onTimeout() {
            if (!settled) {
                settled = true;
                listener.onMarkerFailed();
            }
        }
    }

    private final class ResultWrite {
        private final IdempotencyRecord outcome;
        private final Operation operation;
        private final byte[] value;
        private final Runnable onStored;
        private boolean released;

        ResultWrite(FinishedRun run, Runnable onStored) {
            this.outcome = run.marker().withProgress(InvocationProgress.SUCCEEDED);
            this.operation = run.operation();
            this.value = StoredResults.encode(run.result());
            this.onStored = onStored;
        }

        void start(Duration deadline) {
            Duration now = scheduler.now();
            long append = startAppend(now);
            long expiry = expiryMillis(outcome, operation);
            store.put(
                    outcome.encodeKey(),
                    outcome.encodeMetadata(),
                    value,
                    expiry,
                    result -> {
                        policy.appendCompleted(append);
                        onAppended(result == AppendResult.DURABLE);
                    });
            scheduler.after(policy.answerTimeout(deadline, now), () -> release(false));
        }

        private void onAppended(boolean durable) {
            if (!durable) {
                deferredWrites.defer(outcome.token(), () -> putOutcome(outcome, operation, value));
            }
            release(durable);
        }

        private void release(boolean durable) {
            if (released) {
                return;
            }
            released = true;
            if (!durable) {
                metrics.answeredEarly.add();
            }
            onStored.run();
        }
    }

    private long startAppend(Duration now) {
        appends++;
        policy.appendStarted(appends, now);
        return appends;
    }

    /**
     * Stores an outcome that nobody waits for; repeated while the disk does not take it and it is
     * still of use.
     */
    private void putOutcome(IdempotencyRecord outcome, Operation operation, byte[] value) {
        long expiry = expiryMillis(outcome, operation);
        if (expiry <= store.nowMillis()) {
            return;
        }
        store.put(
                outcome.encodeKey(),
                outcome.encodeMetadata(),
                value,
                expiry,
                result -> {
                    if (result != AppendResult.DURABLE) {
                        deferredWrites.defer(
                                outcome.token(), () -> putOutcome(outcome, operation, value));
                    }
                });
    }

    private void remove(IdempotencyRecord marker, Operation operation) {
        store.remove(
                marker.encodeKey(),
                expiryMillis(marker, operation),
                result -> {
                    if (result != AppendResult.DURABLE) {
                        deferredWrites.defer(marker.token(), () -> remove(marker, operation));
                    }
                });
    }

    /**
     * A retry may be read long after it was sent: a record is of use for one client timeout beyond
     * its window.
     */
    private static long expiryMillis(IdempotencyRecord record, Operation operation) {
        return record.windowEndsAtMillis() + operation.clientTimeout().toMillis();
    }
}
