package ochretiller.idempotency;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * Detects attempts that repeat an earlier one, and caches results for replay. An original attempt
 * is identified by the client's idempotency key or, for an idempotent read, by operation and
 * object.
 *
 * <p>Not thread-safe; confined to the event loop. Callers pass the time, on the monotonic clock
 * unless a name says Unix.
 */
public final class IdempotencyCache {
    /** Value of {@link Attempt#sentUnixMillis} for an attempt without a client timestamp. */
    public static final long NO_CLIENT_TIMESTAMP = Long.MAX_VALUE;

    /**
     * Added to each window: an attempt is timestamped by one clock and looked up by another, and
     * both are read once per event loop iteration, so a repeat at the very end of the window could
     * appear late.
     */
    private static final Duration CLOCK_SLACK = Duration.ofMillis(100);

    /** Deduplication window of a read that is still running: effectively unlimited. */
    private static final Duration RUNNING_READ_WINDOW = Duration.ofDays(10_000);

    private final long maxBytes;
    private final Duration readFreshness;
    private final Map<CacheKey, CacheEntry> entriesByKey = new HashMap<>();
    private final Map<InvocationId, CacheEntry> entriesById = new HashMap<>();
    private final PriorityQueue<CacheEntry> entriesByExpiry =
            new PriorityQueue<>(Comparator.comparing(CacheEntry::expiresAt));
    private long sizeBytes;

    /**
     * Creates an empty cache.
     *
     * @param maxBytes size limit in bytes; further results are not stored, but entries without a
     *     result are
     * @param readFreshness how long the result of a completed read may answer repeats; zero for
     *     never
     */
    public IdempotencyCache(long maxBytes, Duration readFreshness) {
        this.maxBytes = maxBytes;
        this.readFreshness = readFreshness;
    }

    /** Returns the SHA-256 of a body, by which bodies are compared across restarts. */
    public static byte[] bodyDigest(byte[] body) {
        return RequestBody.sha256(body);
    }

    /**
     * Looks up the original that an attempt repeats. A read without an original becomes an original
     * itself; a keyed attempt becomes one by {@link #track} after its admission.
     *
     * @return id of the original; empty if there is none
     */
    public Optional<InvocationId> findOriginalOrTrack(Attempt attempt, Duration now) {
        removeExpired(now);
        Optional<CacheKey> key = CacheKey.of(attempt);
        if (key.isEmpty()) {
            return Optional.empty();
        }
        Optional<CacheEntry> original =
                Optional.ofNullable(entriesByKey.get(key.get()))
                        .filter(entry -> entry.isInWindow(attempt));
        if (original.isEmpty() && !attempt.operation().isKeyed()) {
            CacheEntry.Original read = new CacheEntry.Original(attempt.id(), attempt.operation());
            put(
                    new CacheEntry(
                            key.get(),
                            read,
                            new RequestBody.NotCompared(),
                            RUNNING_READ_WINDOW,
                            OptionalLong.empty()));
        }
        return original.map(CacheEntry::id);
    }

    private void removeExpired(Duration now) {
        while (!entriesByExpiry.isEmpty()
                && entriesByExpiry.peek().expiresAt().compareTo(now) <= 0) {
            remove(entriesByExpiry.peek());
        }
    }

    /**
     * Registers a keyed attempt as the original of its key. An attempt without a key is ignored.
     *
     * @param attempt the attempt, with its key if it has one
     * @param body the request body; the array is retained, not copied
     * @param windowEnds end of the deduplication window
     */
    public void track(Attempt attempt, byte[] body, Duration windowEnds) {
        Operation operation = attempt.operation();
        if (!operation.isKeyed() || attempt.token().isEmpty()) {
            return;
        }
        long windowMillis = operation.deduplicationWindow().plus(CLOCK_SLACK).toMillis();
        OptionalLong windowEndsUnixMillis =
                attempt.sentUnixMillis() == NO_CLIENT_TIMESTAMP
                        ? OptionalLong.empty()
                        : OptionalLong.of(attempt.sentUnixMillis() + windowMillis);
        put(
                new CacheEntry(
                        new CacheKey.Token(attempt.token().get()),
                        new CacheEntry.Original(attempt.id(), operation),
                        new RequestBody.Full(body),
                        windowEnds.plus(CLOCK_SLACK),
                        windowEndsUnixMillis));
    }

    /**
     * Adds a keyed attempt of a previous process. The cache does not hold its result, if it has
     * one.
     *
     * @param restored the attempt as recovered
     * @param windowEnds end of the deduplication window
     */
    public void restore(RestoredAttempt restored, Duration windowEnds) {
        CacheEntry entry =
                new CacheEntry(
                        new CacheKey.Token(restored.token()),
                        new CacheEntry.Original(restored.id(), restored.operation()),
                        new RequestBody.Digest(restored.bodyDigest()),
                        windowEnds,
                        OptionalLong.empty());
        if (restored.isCompleted()) {
            entry.complete(Optional.empty());
        }
        put(entry);
    }

    /**
     * Returns the current original of a token; empty if there is none. If an original never ran,
     * its token may get another one.
     */
    public Optional<InvocationId> findByToken(String token) {
        return Optional.ofNullable(entriesByKey.get(new CacheKey.Token(token))).map(CacheEntry::id);
    }

    /**
     * Returns whether a repeat with this operation and body differs from its keyed original, which
     * is a client error; false for an unknown id.
     */
    public boolean conflictsWith(InvocationId id, Operation operation, byte[] body) {
        CacheEntry entry = entriesById.get(id);
        return entry != null && entry.conflictsWith(operation, body);
    }

    /** Returns whether an original has completed; false for an unknown id. */
    public boolean isCompleted(InvocationId id) {
        CacheEntry entry = entriesById.get(id);
        return entry != null && entry.isCompleted();
    }

    /** Removes an original that never ran; its waiters receive an empty result. */
    public void discard(InvocationId id) {
        Optional.ofNullable(entriesById.get(id)).ifPresent(this::remove);
    }

    /**
     * Completes an original; an unknown id is ignored. A keyed original remains until its window
     * ends, a read only while its result is fresh.
     *
     * @param result empty unless the original succeeded; a result over the size limit is passed to
     *     the waiters but not stored
     */
    public void complete(InvocationId id, Optional<byte[]> result, Duration now) {
        CacheEntry entry = entriesById.get(id);
        if (entry == null || entry.isCompleted()) {
            return;
        }
        // Even without a stored result, the entry prevents repeats from running: they get an error.
        Optional<byte[]> storedResult = result.filter(each -> sizeBytes + each.length <= maxBytes);
        entry.complete(storedResult);
        sizeBytes += storedResult.map(each -> each.length).orElse(0);
        entry.notifyWaiters(result);
        if (entry.key() instanceof CacheKey.Read) {
            completeRead(entry, result.isPresent(), now);
        }
    }

    private void completeRead(CacheEntry entry, boolean succeeded, Duration now) {
        if (!succeeded || readFreshness.isZero()) {
            remove(entry);
            return;
        }
        entriesByExpiry.remove(entry);
        entry.expireAt(now.plus(readFreshness));
        entriesByExpiry.add(entry);
    }

    /**
     * Passes the result of an original to the callback when it completes, or at once if it has.
     *
     * @param id id of the original; empty if it is unknown
     * @param callback receives the result; empty if none is available
     */
    public void whenCompleted(Optional<InvocationId> id, Consumer<Optional<byte[]>> callback) {
        Optional<CacheEntry> entry = id.map(entriesById::get);
        if (entry.isPresent() && !entry.get().isCompleted()) {
            entry.get().addWaiter(callback);
        } else {
            callback.accept(entry.flatMap(CacheEntry::result));
        }
    }

    private void put(CacheEntry entry) {
        Optional.ofNullable(entriesByKey.get(entry.key())).ifPresent(this::remove);
        entriesByKey.put(entry.key(), entry);
        entriesById.put(entry.id(), entry);
        entriesByExpiry.add(entry);
        sizeBytes += entry.sizeBytes();
    }

    private void remove(CacheEntry entry) {
        entriesByKey.remove(entry.key(), entry);
        entriesById.remove(entry.id(), entry);
        entriesByExpiry.remove(entry);
        sizeBytes -= entry.sizeBytes();
        entry.notifyWaiters(Optional.empty());
    }
}
