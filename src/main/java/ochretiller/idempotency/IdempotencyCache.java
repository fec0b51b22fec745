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
 * Tells which attempts repeat an earlier one, and keeps results for their replay. Originals are
 * known by the client's idempotency key, or for idempotent reads by operation and object.
 *
 * <p>Not safe for several threads; owned by the event loop. Time is handed in, on the monotonic
 * clock unless a name says Unix.
 */
public final class IdempotencyCache {
    /** In place of the Unix milliseconds of an attempt that its client has not dated. */
    public static final long NO_CLIENT_TIMESTAMP = Long.MAX_VALUE;

    /**
     * Added to each window: an attempt is dated by one clock and looked up by another, and both are
     * read once per turn of the event loop, so a repeat at the very end of the window could seem to
     * be late.
     */
    private static final Duration CLOCK_SLACK = Duration.ofMillis(100);

    /** Window of a read that is still running. */
    private static final Duration WHILE_RUNNING = Duration.ofDays(10_000);

    private final long maxBytes;
    private final Duration readFreshness;
    private final Map<CacheKey, CacheEntry> entriesByKey = new HashMap<>();
    private final Map<InvocationId, CacheEntry> entriesById = new HashMap<>();
    private final PriorityQueue<CacheEntry> entriesByEnd =
            new PriorityQueue<>(Comparator.comparing(CacheEntry::forgetAt));
    private long bytes;

    /**
     * An empty cache.
     *
     * @param maxBytes memory from which on results are no longer kept; entries without a result are
     * @param readFreshness how long the result of a read may serve others; zero for never
     */
    public IdempotencyCache(long maxBytes, Duration readFreshness) {
        this.maxBytes = maxBytes;
        this.readFreshness = readFreshness;
    }

    /** SHA-256 of a body, to compare bodies over a restart. */
    public static byte[] bodyDigest(byte[] body) {
        return RequestBody.sha256(body);
    }

    /**
     * Looks up the original that an attempt repeats. A read that repeats none becomes an original
     * itself; a keyed attempt does so by {@link #track} once it is admitted.
     *
     * @return empty where the attempt repeats none
     */
    public Optional<InvocationId> findOriginalOrTrack(Attempt attempt, Duration now) {
        forgetExpired(now);
        Optional<CacheKey> key = CacheKey.of(attempt);
        if (key.isEmpty()) {
            return Optional.empty();
        }
        Optional<CacheEntry> original =
                Optional.ofNullable(entriesByKey.get(key.get()))
                        .filter(entry -> entry.coversArrivalOf(attempt));
        if (original.isEmpty() && !attempt.operation().isKeyed()) {
            CacheEntry.Original read = new CacheEntry.Original(attempt.id(), attempt.operation());
            put(
                    new CacheEntry(
                            key.get(),
                            read,
                            new RequestBody.Irrelevant(),
                            WHILE_RUNNING,
                            OptionalLong.empty()));
        }
        return original.map(CacheEntry::id);
    }

    private void forgetExpired(Duration now) {
        while (!entriesByEnd.isEmpty() && entriesByEnd.peek().forgetAt().compareTo(now) <= 0) {
            remove(entriesByEnd.peek());
        }
    }

    /**
     * Makes a keyed attempt the original of its key. Attempts without a key are left alone.
     *
     * @param attempt with its key, where its operation has one
     * @param body what it asked for; the array is kept
     * @param windowEnds end of the time in which repeats may arrive
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
                        new RequestBody.Known(body),
                        windowEnds.plus(CLOCK_SLACK),
                        windowEndsUnixMillis));
    }

    /**
     * Adds a keyed attempt of a previous process. Its result, if there is one, is kept elsewhere.
     *
     * @param restored what is known of it
     * @param windowEnds end of the time in which repeats may arrive
     */
    public void restore(RestoredAttempt restored, Duration windowEnds) {
        CacheEntry entry =
                new CacheEntry(
                        new CacheKey.Token(restored.token()),
                        new CacheEntry.Original(restored.id(), restored.operation()),
                        new RequestBody.Digested(restored.bodyDigest()),
                        windowEnds,
                        OptionalLong.empty());
        if (restored.isCompleted()) {
            entry.complete(Optional.empty());
        }
        put(entry);
    }

    /**
     * The original under this token now; empty where there is none. An original that never ran
     * leaves its token to another.
     */
    public Optional<InvocationId> findByToken(String token) {
        return Optional.ofNullable(entriesByKey.get(new CacheKey.Token(token))).map(CacheEntry::id);
    }

    /**
     * Whether a keyed original asked for something else, so that a repeat with this body is a
     * client's error; false for unknown ids.
     */
    public boolean conflictsWith(InvocationId id, Operation operation, byte[] body) {
        CacheEntry entry = entriesById.get(id);
        return entry != null && entry.conflictsWith(operation, body);
    }

    /** Whether an original has run to its end; false for unknown ids. */
    public boolean isCompleted(InvocationId id) {
        CacheEntry entry = entriesById.get(id);
        return entry != null && entry.isCompleted();
    }

    /** Drops an original that never ran; those that wait for its result get none. */
    public void forget(InvocationId id) {
        Optional.ofNullable(entriesById.get(id)).ifPresent(this::remove);
    }

    /**
     * An original has come to its end; unknown ids are passed over. A keyed one stays until its
     * window ends, a read only while its result is fresh.
     *
     * @param result empty unless it succeeded; one that does not fit the bound is handed to those
     *     that wait and not kept
     */
    public void complete(InvocationId id, Optional<byte[]> result, Duration now) {
        CacheEntry entry = entriesById.get(id);
        if (entry == null || entry.isCompleted()) {
            return;
        }
        // Without its result an entry still stops repeats from running: they get an error instead.
        Optional<byte[]> keptResult = result.filter(each -> bytes + each.length <= maxBytes);
        entry.complete(keptResult);
        bytes += keptResult.map(each -> each.length).orElse(0);
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
        entriesByEnd.remove(entry);
        entry.expireAt(now.plus(readFreshness));
        entriesByEnd.add(entry);
    }

    /**
     * Hands over the result of an original once it has completed, at once where it has.
     *
     * @param id empty for an original that is not known
     * @param callback receives the result; empty where there is none to be had
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
        entriesByEnd.add(entry);
        bytes += entry.sizeBytes();
    }

    private void remove(CacheEntry entry) {
        entriesByKey.remove(entry.key(), entry);
        entriesById.remove(entry.id(), entry);
        entriesByEnd.remove(entry);
        bytes -= entry.sizeBytes();
        entry.notifyWaiters(Optional.empty());
    }
}
