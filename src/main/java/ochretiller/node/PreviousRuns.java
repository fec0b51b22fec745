package ochretiller.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import ochretiller.fleet.service.PreviousIncarnation;
import ochretiller.fleet.service.ReplicationService;
import ochretiller.idempotency.durable.IdempotencyRecord;
import ochretiller.idempotency.durable.InvocationProgress;
import ochretiller.idempotency.durable.RecoveryDecision;
import ochretiller.net.Scheduler;
import ochretiller.store.RecoveredEntry;
import ochretiller.store.Store;

/**
 * What previous processes of this server have left in the store. Retries of it are answered from
 * here until the admission controller knows it; the fleet may ask about it for as long as any of it
 * matters. Event loop thread only.
 */
final class PreviousRuns implements PreviousIncarnation {
    private final Scheduler scheduler;
    private final Store store;
    private final StoredResults results;

    /** What the admission controller does not know yet; the end of the earliest window first. */
    private final Map<String, IdempotencyRecord> recovered = new LinkedHashMap<>();

    /** What the fleet may ask about. */
    private final Map<String, IdempotencyRecord> retained = new HashMap<>();

    /**
     * Whether the store was read without damage, so that what it does not have was never started.
     */
    private final boolean storeComplete;

    /** Takes over what the store has recovered. */
    PreviousRuns(Scheduler scheduler, Store store, StoredResults results) {
        this.scheduler = scheduler;
        this.store = store;
        this.results = results;
        storeComplete = store.incompleteFor().isZero();
        for (RecoveredEntry entry : store.recoveredEntries()) {
            IdempotencyRecord.decode(entry.key(), entry.metadata())
                    .ifPresent(record -> recovered.put(record.token(), record));
        }
    }

    /** Keeps everything for questions of the fleet, until the longest window of it is over. */
    void retainForFleet(Duration recordLife) {
        retained.putAll(recovered);
        scheduler.after(recordLife, retained::clear);
    }

    int size() {
        return recovered.size();
    }

    /** Returns how many runs have an unknown outcome. */
    long countInFlight() {
        long count = 0;
        for (IdempotencyRecord record : recovered.values()) {
            if (record.progress() == InvocationProgress.IN_FLIGHT) {
                count++;
            }
        }
        return count;
    }

    Optional<IdempotencyRecord> find(String token) {
        return token == null ? Optional.empty() : Optional.ofNullable(recovered.get(token));
    }

    List<IdempotencyRecord> takeAll() {
        List<IdempotencyRecord> all = new ArrayList<>(recovered.values());
        recovered.clear();
        return all;
    }

    /**
     * Decides how retries of a previous run are answered, given how long ago the processor was
     * started.
     */
    RecoveryDecision recoveryDecision(IdempotencyRecord record, Duration processorAge) {
        RecoveryDecision decision =
                RecoveryDecision.of(record, store.nowMillis() - processorAge.toMillis());
        if (decision == RecoveryDecision.REJECT) {
            // Nobody will ever learn its outcome: the fleet need not wait for it either.
            retained.replace(
                    record.token(), record.withProgress(InvocationProgress.ENDED_WITHOUT_RESULT));
        }
        return decision;
    }

    /** Records the outcome of a previous run that has become known. */
    void settle(IdempotencyRecord record, InvocationProgress outcome) {
        retained.replace(record.token(), record.withProgress(outcome));
    }

    Duration remainingWindow(IdempotencyRecord record) {
        return Duration.ofMillis(record.windowEndsAtMillis() - store.nowMillis());
    }

    @Override
    public void ask(String token, Consumer<Known> onAnswer) {
        IdempotencyRecord record = retained.get(token);
        if (record == null) {
            onAnswer.accept(storeComplete ? Known.NEVER : Known.UNKNOWN);
            return;
        }
        switch (record.progress()) {
            case IN_FLIGHT -> onAnswer.accept(Known.UNKNOWN);
            case ENDED_WITHOUT_RESULT -> onAnswer.accept(ended(record, null));
            case SUCCEEDED -> {
                Known known = ended(record, null);
                results.read(
                        token,
                        result ->
                                onAnswer.accept(
                                        result.map(
                                                        bytes ->
                                                                new Known(
                                                                        known.kind(),
                                                                        known.body(),
                                                                        bytes,
                                                                        known.windowEnds()))
                                                .orElse(Known.UNKNOWN)));
            }
            default -> throw new IllegalStateException("unknown progress " + record.progress());
        }
    }

    private Known ended(IdempotencyRecord record, byte[] result) {
        String fingerprint = ReplicationService.body(record.operation(), record.bodyDigest());
        return new Known(
                Kind.ENDED, fingerprint, result, scheduler.now().plus(remainingWindow(record)));
    }
}
