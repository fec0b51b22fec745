package ochretiller.node;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.logging.Logger;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.idempotency.durable.DurabilityPolicy;
import ochretiller.idempotency.durable.DurabilityTimeouts;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.InvocationProgress;
import ochretiller.idempotency.durable.RecoveryDecision;
import ochretiller.metrics.Metrics;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.RunOutcome;
import ochretiller.net.Scheduler;
import ochretiller.operator.OperatorConfig;
import ochretiller.store.BootClock;
import ochretiller.store.Store;

/**
 * Keeps idempotency records in a store on disk. A run starts when its marker is durable; an answer
 * is sent when its result is durable, or shortly before the client's deadline. The store writes on
 * its own thread and posts completions to the event loop. Event loop thread only.
 */
final class DurableIdempotency implements IdempotencyStore {
    private static final Logger LOG = Logger.getLogger(DurableIdempotency.class.getName());
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final Scheduler scheduler;
    private final Store store;
    private final DurabilityPolicy policy;
    private final DurabilityMetrics metrics;
    private final DeferredWrites deferredWrites;
    private final IdempotencyRecordWriter writer;
    private final StoredResults results;
    private final PreviousRuns previousRuns;

    /** Durable markers of unfinished runs. */
    private final Map<InvocationId, IdempotencyRecord> markers = new HashMap<>();

    /**
     * Opens the store and recovers its records; nothing is written before {@link #start}.
     *
     * @param random jitter of the probes of an unavailable disk
     * @throws IOException if the store cannot be opened
     */
    DurableIdempotency(
            Scheduler scheduler, StoreSetup setup, SplittableRandom random, Metrics metrics)
            throws IOException {
        this.scheduler = scheduler;
        long openStartNanos = System.nanoTime();
        store =
                Store.open(
                        setup.directory(), setup.limits(), BootClock.ofKernel(), scheduler::post);
        double recoverySeconds = (System.nanoTime() - openStartNanos) / NANOS_PER_SECOND;
        policy = new DurabilityPolicy(timeouts(setup.settings()), random);
        this.metrics = new DurabilityMetrics(metrics, store, recoverySeconds);
        deferredWrites = new DeferredWrites(this.metrics.lostWrites);
        writer =
                new IdempotencyRecordWriter(scheduler, store, policy, deferredWrites, this.metrics);
        results = new StoredResults(store, this.metrics.replaysFromDisk);
        previousRuns = new PreviousRuns(scheduler, store, results);
        this.metrics.setUnknownOutcomes(previousRuns.countInFlight());
        if (setup.replication().isPresent()) {
            previousRuns.retainForFleet(setup.recordLifetime());
        }
        logRecovery(recoverySeconds);
        suspendWhileIncomplete();
    }

    private static DurabilityTimeouts timeouts(OperatorConfig.Durability settings) {
        return new DurabilityTimeouts(
                settings.markerWait(),
                settings.answerWait(),
                settings.stallThreshold(),
                settings.initialProbeInterval(),
                settings.maxProbeInterval());
    }

    private void logRecovery(double recoverySeconds) {
        LOG.info(
                () ->
                        "idempotency store has "
                                + previousRuns.size()
                                + " keyed invocations, "
                                + previousRuns.countInFlight()
                                + " of them with unknown outcome, read in "
                                + Math.round(recoverySeconds * MILLIS_PER_SECOND)
                                + " ms");
        store.damageReports().forEach(line -> LOG.severe("idempotency store is damaged: " + line));
    }

    /**
     * Rejects new markers for as long as a marker of a previous process may be missing because of
     * damage, since its invocation could run twice.
     */
    private void suspendWhileIncomplete() {
        Duration suspension = store.timeUntilComplete();
        if (suspension.isZero()) {
            return;
        }
        policy.suspendNewKeysUntil(scheduler.now().plus(suspension));
        LOG.severe(
                "in-flight markers may be missing from the damaged idempotency store: new keyed"
                        + " invocations are throttled for "
                        + suspension.toMillis()
                        + " ms");
    }

    /** Returns the store, which the fleet uses too, in separate key spaces. */
    Store store() {
        return store;
    }

    /** Returns the recovered records of previous processes, which the fleet may query. */
    PreviousRuns previousRuns() {
        return previousRuns;
    }

    @Override
    public void start() {
        store.start();
        new StoreHealthMonitor(scheduler, store, policy, deferredWrites, metrics).start();
    }

    @Override
    public boolean acceptsNewMarkers() {
        return policy.acceptsNewKeys(scheduler.now());
    }

    @Override
    public void writeMarker(RequestAttempt attempt, MarkerListener listener) {
        if (!attempt.operation.isKeyed()) {
            listener.onMarkerDurable();
            return;
        }
        Duration now = scheduler.now();
        if (!IdempotencyRecord.canStoreNames(attempt.operation.name(), attempt.requestId)
                || !policy.acceptsNewKeys(now)) {
            metrics.throttledInvocations.add();
            listener.onMarkerFailed();
            return;
        }
        IdempotencyRecord marker = createMarker(attempt, now);
        writer.writeMarker(
                marker,
                attempt.operation,
                deadline(attempt),
                new MarkerRegistration(attempt.id, marker, listener));
    }

    private IdempotencyRecord createMarker(RequestAttempt attempt, Duration now) {
        Duration window =
                attempt.arrivedAt.plus(attempt.operation.deduplicationWindow()).minus(now);
        long storeNowMillis = store.nowMillis();
        return new IdempotencyRecord(
                InvocationProgress.IN_FLIGHT,
                attempt.token,
                attempt.operation.name(),
                attempt.requestId,
                IdempotencyCache.bodyDigest(attempt.body),
                storeNowMillis,
                storeNowMillis + Math.max(0, window.toMillis()) + 1);
    }

    /** Registers a marker once it is durable, then notifies the next listener. */
    private final class MarkerRegistration implements MarkerListener {
        private final InvocationId id;
        private final IdempotencyRecord marker;
        private final MarkerListener next;

        MarkerRegistration(InvocationId id, IdempotencyRecord marker, MarkerListener next) {
            this.id = id;
            this.marker = marker;
            this.next = next;
        }

        @Override
        public void onMarkerDurable() {
            markers.put(id, marker);
            next.onMarkerDurable();
        }

        @Override
        public void onMarkerFailed() {
            metrics.throttledInvocations.add();
            next.onMarkerFailed();
        }
    }

    @Override
    public void onRunFinished(
            RequestAttempt attempt, RunOutcome.Status status, byte[] result, Runnable onStored) {
        IdempotencyRecord marker = markers.remove(attempt.id);
        if (marker == null) {
            onStored.run();
        } else {
            writer.writeOutcome(
                    new FinishedRun(marker, attempt.operation, status, result),
                    deadline(attempt),
                    onStored);
        }
    }

    private static Duration deadline(RequestAttempt attempt) {
        return attempt.arrivedAt.plus(attempt.operation.clientTimeout());
    }

    @Override
    public void readResult(String token, Consumer<Optional<byte[]>> onRead) {
        results.read(token, onRead);
    }

    @Override
    public Optional<IdempotencyRecord> findPreviousRun(String token) {
        return previousRuns.find(token);
    }

    @Override
    public List<IdempotencyRecord> takePreviousRuns() {
        return previousRuns.takeAll();
    }

    @Override
    public RecoveryDecision recoveryDecision(IdempotencyRecord previous, Duration processorAge) {
        return previousRuns.recoveryDecision(previous, processorAge);
    }

    @Override
    public Duration remainingWindow(IdempotencyRecord previous) {
        return previousRuns.remainingWindow(previous);
    }

    @Override
    public void onPreviousRunFinished(
            IdempotencyRecord previous,
            Operation operation,
            RunOutcome.Status status,
            byte[] result,
            Runnable onStored) {
        metrics.decrementUnknownOutcomes();
        boolean succeeded = status == RunOutcome.Status.SUCCEEDED;
        previousRuns.recordOutcome(
                previous,
                succeeded ? InvocationProgress.SUCCEEDED : InvocationProgress.ENDED_WITHOUT_RESULT);
        Duration deadline = scheduler.now().plus(operation.clientTimeout());
        writer.writeOutcome(
                new FinishedRun(previous, operation, status, result), deadline, onStored);
    }

    @Override
    public void close() {
        try {
            store.close();
        } catch (IOException e) {
            LOG.warning("cannot close the idempotency store: " + e.getMessage());
        }
    }
}
