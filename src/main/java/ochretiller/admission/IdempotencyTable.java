package ochretiller.admission;

import static ochretiller.time.Durations.isAfter;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;

/**
 * The keyed attempts of this server by their number. Stands for the rule "no effect twice" and the
 * "lookup, mark, replay" of "Idempotency in one attribute: safe retries for HTTP APIs"
 * (Ball-llovera). It departs from that post in that the mark is set when an attempt is read rather
 * than when it runs, and in that entries are kept for the deduplication window of their operation.
 */
final class IdempotencyTable {
    /** Share of the memory that the entries may take. */
    private static final double MEMORY_SHARE = 0.4;

    private final double entryKb;
    private final double capacityKb;
    private final Map<InvocationId, IdempotencyEntry> entries = new HashMap<>();
    private final PriorityQueue<IdempotencyEntry> liveByExpiry =
            new PriorityQueue<>(Comparator.comparing(IdempotencyEntry::expiresAt));
    private final ArrayDeque<IdempotencyEntry> insertionOrder = new ArrayDeque<>();

    /**
     * Creates an empty table.
     *
     * @param entryKb memory of one entry, kilobytes
     * @param memoryKb memory of the server, kilobytes
     */
    IdempotencyTable(double entryKb, double memoryKb) {
        this.entryKb = entryKb;
        this.capacityKb = memoryKb * MEMORY_SHARE;
    }

    double entryKb() {
        return entryKb;
    }

    /** Returns the memory of the entries whose deduplication window is not over, kilobytes. */
    double usedKb(Duration now) {
        while (!liveByExpiry.isEmpty() && liveByExpiry.peek().isExpired(now)) {
            liveByExpiry.poll();
        }
        return liveByExpiry.size() * entryKb;
    }

    /** Returns whether one more entry fits. Live entries are never evicted for a newcomer. */
    boolean hasCapacity(Duration now) {
        return usedKb(now) + entryKb <= capacityKb;
    }

    /** Adds the entry of an attempt that was just admitted. */
    void register(Invocation attempt, Duration now) {
        // A retry may be read long after it arrived, so that an entry is found for one client
        // timeout longer than it takes room.
        Duration forgetBefore = now.minus(attempt.operation().clientTimeout());
        while (!insertionOrder.isEmpty()
                && isAfter(forgetBefore, insertionOrder.peek().expiresAt())) {
            IdempotencyEntry old = insertionOrder.poll();
            // By identity: a discarded attempt that was read again has a later entry.
            entries.remove(old.id(), old);
        }
        Duration window = attempt.operation().deduplicationWindow();
        add(new IdempotencyEntry(attempt.id(), attempt.arrivedAt().plus(window)));
    }

    /** Adds the entry of an attempt of a previous process, unless it is there already. */
    void restore(InvocationId id, Duration expiresAt) {
        if (!entries.containsKey(id)) {
            add(new IdempotencyEntry(id, expiresAt));
        }
    }

    private void add(IdempotencyEntry entry) {
        entries.put(entry.id(), entry);
        liveByExpiry.add(entry);
        insertionOrder.add(entry);
    }

    Optional<IdempotencyEntry> find(InvocationId id) {
        return Optional.ofNullable(entries.get(id));
    }

    /** Returns the entry of the attempt that an invocation repeats, if it is one and is known. */
    Optional<IdempotencyEntry> findOriginal(TrackedInvocation retry) {
        return Optional.ofNullable(entries.get(retry.invocation().originalAttempt()));
    }

    /** Notes what became of an attempt. Returns its entry, or empty for one that is not keyed. */
    Optional<IdempotencyEntry> update(InvocationId id, IdempotencyEntry.State state) {
        Optional<IdempotencyEntry> entry = find(id);
        entry.ifPresent(found -> found.transitionTo(state));
        return entry;
    }

    /** Marks the entry of an attempt that is known never to have run, and frees its room. */
    void discard(IdempotencyEntry entry) {
        entry.transitionTo(IdempotencyEntry.State.DISCARDED);
        liveByExpiry.remove(entry);
    }

    /** A retry waits for its original attempt no more. */
    void stopWaiting(TrackedInvocation retry) {
        findOriginal(retry).ifPresent(entry -> entry.removeWaitingRetry(retry));
    }
}
