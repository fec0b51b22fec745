package ochretiller.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import ochretiller.fleet.service.PreviousRunLookup;
import ochretiller.fleet.service.ReplicationService;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.InvocationProgress;
import ochretiller.idempotency.durable.RecoveryDecision;
import ochretiller.net.Scheduler;
import ochretiller.store.RecoveredEntry;
import ochretiller.store.Store;

/**
 * Records of keyed invocations that previous processes of this server left in the store. Retries
 * are answered from here until the admission controller has taken the records over; the fleet may
 * query them until the longest window has ended. Event loop thread only.
 */
final class PreviousRuns implements PreviousRunLookup {
    private final Scheduler scheduler;
    private final Store store;
    private final StoredResults results;

    /** Records not taken over by the admission controller, by key, earliest window end first. */
    private final Map<String, IdempotencyRecord> recoveredRecords = new LinkedHashMap<>();

    /** Records that the fleet may query, by key. */
    private final Map<String, IdempotencyRecord> retainedRecords = new HashMap<>();

    /** Whether the store was read without damage, so that a key without a record was never run. */
    private final boolean isStoreComplete;

    /** Decodes the entries that the store recovered. */
    PreviousRuns(Scheduler scheduler, Store store, StoredResults results) {
        this.scheduler = scheduler;
        this.store = store;
        this.results = results;
        isStoreComplete = store.timeUntilComplete().isZero();
        for (RecoveredEntry entry : store.recoveredEntries()) {
            IdempotencyRecord.decode(entry.key(), entry.metadata())
                    .ifPresent(record -> recoveredRecords.put(record.token(), record));
        }
    }

    /** Retains all records for the fleet's queries until the longest of their windows has ended. */
    void retainForFleet(Duration recordLifetime) {
        retainedRecords.putAll(recoveredRecords);
        scheduler.runAfter(recordLifetime, retainedRecords::clear);
    }

    int size() {
        return recoveredRecords.size();
    }

    /** Returns the number of runs whose outcome is unknown. */
    long countInFlight() {
        long count = 0;
        for (IdempotencyRecord record : recoveredRecords.values()) {
            if (record.progress() == InvocationProgress.IN_FLIGHT) {
                count++;
            }
        }
        return count;
    }

    Optional<IdempotencyRecord> find(String token) {
        return token == null ? Optional.empty() : Optional.ofNullable(recoveredRecords.get(token));
    }

    List<IdempotencyRecord> takeAll() {
        List<IdempotencyRecord> all = new ArrayList<>(recoveredRecords.values());
        recoveredRecords.clear();
        return all;
    }

    /**
     * Decides how retries of a previous run are answered.
     *
     * @param processorAge time since the start of the processor
     */
    RecoveryDecision recoveryDecision(IdempotencyRecord record, Duration processorAge) {
        RecoveryDecision decision =
                RecoveryDecision.of(record, store.nowMillis() - processorAge.toMillis());
        if (decision == RecoveryDecision.REJECT) {
            // The outcome can no longer be learned, so the fleet must not wait for it either.
            retainedRecords.replace(
                    record.token(), record.withProgress(InvocationProgress.ENDED_WITHOUT_RESULT));
        }
        return decision;
    }

    /** Records the outcome of a previous run that was still in flight when the store was read. */
    void recordOutcome(IdempotencyRecord record, InvocationProgress outcome) {
        retainedRecords.replace(record.token(), record.withProgress(outcome));
    }

    Duration remainingWindow(IdempotencyRecord record) {
        return Duration.ofMillis(record.windowEndsAtMillis() - store.nowMillis());
    }

    @Override
    public void lookUp(String token, Consumer<PreviousRun> onAnswer) {
        IdempotencyRecord record = retainedRecords.get(token);
        if (record == null) {
            onAnswer.accept(isStoreComplete ? PreviousRun.NEVER_STARTED : PreviousRun.UNKNOWN);
            return;
        }
        switch (record.progress()) {
            case IN_FLIGHT -> onAnswer.accept(PreviousRun.UNKNOWN);
            case ENDED_WITHOUT_RESULT -> onAnswer.accept(finishedRun(record, null));
            case SUCCEEDED -> {
                PreviousRun finished = finishedRun(record, null);
                results.read(
                        token,
                        result ->
                                onAnswer.accept(
                                        result.map(
                                                        bytes ->
                                                                new PreviousRun(
                                                                        finished.progress(),
                                                                        finished.fingerprint(),
                                                                        bytes,
                                                                        finished.windowEnd()))
                                                .orElse(PreviousRun.UNKNOWN)));
            }
            default -> throw new IllegalStateException("unknown progress " + record.progress());
        }
    }

    private PreviousRun finishedRun(IdempotencyRecord record, byte[] result) {
        String fingerprint =
                ReplicationService.requestFingerprint(record.operation(), record.bodyDigest());
        return new PreviousRun(
                Progress.COMPLETED,
                fingerprint,
                result,
                scheduler.now().plus(remainingWindow(record)));
    }
}
