package ochretiller.admission;

import static ochretiller.time.Durations.isAfter;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;

/**
 * The entries of this server's keyed attempts. Implements at-most-once effects by the "lookup,
 * mark, replay" of "Idempotency in one attribute: safe retries for HTTP APIs" (Ball-llovera).
 * Unlike that post, it sets the mark when an attempt is read rather than when it runs, and retains
 * entries for the deduplication window of their operation.
 */
final class IdempotencyTable {
    /** Share of the server's memory that the entries may use. */
    private static final double MEMORY_SHARE = 0.4;

    /** Discarded entries that can still be found: more than are discarded in a few seconds. */
    private static final int MAX_DISCARDED_ENTRIES = 4_096;

    private final double entryKb;
    private final double capacityKb;

    /** All entries, in the order in which they were added. */
    private final Map<InvocationId, IdempotencyEntry> entries = new LinkedHashMap<>();

    private final PriorityQueue<IdempotencyEntry> liveByExpiry =
            new PriorityQueue<>(Comparator.comparing(IdempotencyEntry::expiresAt));

    /** The discarded entries that can still be found, the oldest first. */
    private final ArrayDeque<IdempotencyEntry> discardedEntries = new ArrayDeque<>();

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

    /** Returns the memory of the entries whose deduplication window has not ended, kilobytes. */
    double usedKb(Duration now) {
        while (!liveByExpiry.isEmpty() && liveByExpiry.peek().isExpired(now)) {
            liveByExpiry.poll();
        }
        return liveByExpiry.size() * entryKb;
    }

    /** Returns whether one more entry fits. Live entries are never evicted for a new one. */
    boolean hasCapacity(Duration now) {
        return usedKb(now) + entryKb <= capacityKb;
    }

    /** Adds the entry of an attempt that was just admitted. */
    void register(Invocation attempt, Duration now) {
        // A retry may be read long after it arrived, so an entry can be found for one client
        // timeout longer than it counts as used memory.
        Duration forgetBefore = now.minus(attempt.operation().clientTimeout());
        Iterator<IdempotencyEntry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext() && isAfter(forgetBefore, oldestFirst.next().expiresAt())) {
            oldestFirst.remove();
        }
        Duration window = attempt.operation().deduplicationWindow();
        add(new IdempotencyEntry(attempt.id(), attempt.arrivedAt().plus(window)));
    }

    /** Adds the entry of an attempt of a previous process, unless it is already present. */
    void restore(InvocationId id, Duration expiresAt) {
        if (!entries.containsKey(id)) {
            add(new IdempotencyEntry(id, expiresAt));
        }
    }

    private void add(IdempotencyEntry entry) {
        entries.remove(entry.id()); // a discarded attempt that was read again gets a new place
        entries.put(entry.id(), entry);
        liveByExpiry.add(entry);
    }

    Optional<IdempotencyEntry> find(InvocationId id) {
        return Optional.ofNullable(entries.get(id));
    }

    /** Returns the entry of the attempt that an invocation repeats, or empty if there is none. */
    Optional<IdempotencyEntry> findOriginal(TrackedInvocation retry) {
        return Optional.ofNullable(entries.get(retry.invocation().originalAttempt()));
    }

    /** Updates the state of an attempt. Returns its entry, or empty if it is not keyed. */
    Optional<IdempotencyEntry> update(InvocationId id, IdempotencyEntry.State state) {
        Optional<IdempotencyEntry> entry = find(id);
        entry.ifPresent(found -> found.transitionTo(state));
        return entry;
    }

    /**
     * Marks the entry of an attempt that never ran as discarded, and frees its memory. The latest
     * discarded entries can still be found.
     */
    void discard(IdempotencyEntry entry) {
        entry.transitionTo(IdempotencyEntry.State.DISCARDED);
        liveByExpiry.remove(entry);
        discardedEntries.add(entry);
        if (discardedEntries.size() > MAX_DISCARDED_ENTRIES) {
            IdempotencyEntry oldest = discardedEntries.poll();
            // By identity: a discarded attempt that was read again has a newer entry.
            entries.remove(oldest.id(), oldest);
        }
    }

    /** Returns the number of entries that can be found. */
    int size() {
        return entries.size();
    }
}
