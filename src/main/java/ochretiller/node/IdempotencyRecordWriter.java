package ochretiller.node;

import java.time.Duration;
import ochretiller.idempotency.durable.DurabilityPolicy;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.InvocationProgress;
import ochretiller.model.Operation;
import ochretiller.net.ScheduledTask;
import ochretiller.net.Scheduler;
import ochretiller.store.AppendResult;
import ochretiller.store.Store;

/**
 * Writes markers and outcomes of keyed invocations. A caller is notified when the store completes
 * the write or when the wait times out, whichever is first. Outcomes and removals that fail are
 * deferred and repeated. Event loop thread only.
 */
final class IdempotencyRecordWriter {
    private static final byte[] NO_VALUE = {};

    private final Scheduler scheduler;
    private final Store store;
    private final DurabilityPolicy policy;
    private final DeferredWrites deferredWrites;
    private final DurabilityMetrics metrics;
    private long lastAppend;

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
     * @param deadline when the client stops waiting
     */
    void writeMarker(
            IdempotencyRecord marker,
            Operation operation,
            Duration deadline,
            MarkerListener listener) {
        new MarkerWrite(marker, operation, listener).start(deadline);
    }

    /**
     * Writes the outcome of a run.
     *
     * @param deadline when the client stops waiting
     * @param onStored called once, when the client may be answered
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
                onStored.run(); // not awaited: the marker also prevents another run
            }
        }
    }

    private final class MarkerWrite {
        private final IdempotencyRecord marker;
        private final Operation operation;
        private final MarkerListener listener;
        private ScheduledTask timeout;
        private boolean isCompleted;

        MarkerWrite(IdempotencyRecord marker, Operation operation, MarkerListener listener) {
            this.marker = marker;
            this.operation = operation;
            this.listener = listener;
        }

        void start(Duration deadline) {
            Duration now = scheduler.now();
            timeout = scheduler.runAfter(policy.markerTimeout(deadline, now), this::onTimeout);
            long append = registerAppend(now);
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
        }

        private void onAppended(AppendResult result) {
            boolean hasTimedOut = isCompleted;
            isCompleted = true;
            timeout.cancel();
            if (result == AppendResult.DURABLE && !hasTimedOut) {
                listener.onMarkerDurable();
                return;
            }
            if (result == AppendResult.DURABLE || result == AppendResult.UNKNOWN) {
                // The invocation was not run: its marker must not block a retry after a restart.
                remove(marker, operation);
            }
            if (!hasTimedOut) {
                listener.onMarkerFailed();
            }
        }

        private void onTimeout() {
            if (!isCompleted) {
                isCompleted = true;
                listener.onMarkerFailed();
            }
        }
    }

    private final class ResultWrite {
        private final IdempotencyRecord outcome;
        private final Operation operation;
        private final byte[] value;
        private final Runnable onStored;
        private ScheduledTask timeout;
        private boolean isNotified;

        ResultWrite(FinishedRun run, Runnable onStored) {
            this.outcome = run.marker().withProgress(InvocationProgress.SUCCEEDED);
            this.operation = run.operation();
            this.value = StoredResults.encode(run.result());
            this.onStored = onStored;
        }

        void start(Duration deadline) {
            Duration now = scheduler.now();
            timeout =
                    scheduler.runAfter(
                            policy.answerTimeout(deadline, now), () -> notifyStored(false));
            long append = registerAppend(now);
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
        }

        private void onAppended(boolean durable) {
            if (!durable) {
                deferredWrites.defer(outcome.token(), () -> putOutcome(outcome, operation, value));
            }
            notifyStored(durable);
        }

        private void notifyStored(boolean durable) {
            if (isNotified) {
                return;
            }
            isNotified = true;
            timeout.cancel();
            if (!durable) {
                metrics.earlyAnswers.add();
            }
            onStored.run();
        }
    }

    private long registerAppend(Duration now) {
        lastAppend++;
        policy.appendStarted(lastAppend, now);
        return lastAppend;
    }

    /**
     * Stores an outcome that no client waits for. A failed write is deferred and repeated until the
     * record has expired.
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
     * Returns when a record expires: one client timeout after the end of its window, since a retry
     * may be read that long after it was sent.
     */
    private static long expiryMillis(IdempotencyRecord record, Operation operation) {
        return record.windowEndsAtMillis() + operation.clientTimeout().toMillis();
    }
}
