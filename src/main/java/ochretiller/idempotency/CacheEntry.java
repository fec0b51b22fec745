package ochretiller.idempotency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * An original attempt and, after it has succeeded, its result. Confined to the thread that owns the
 * {@link IdempotencyCache}.
 */
final class CacheEntry {
    /** Estimated memory of an entry, excluding its body and result. */
    private static final int OVERHEAD_BYTES = 400;

    private final CacheKey key;
    private final InvocationId id;
    private final Operation operation;
    private final RequestBody body;
    private final OptionalLong windowEndsUnixMillis;
    private final List<Consumer<Optional<byte[]>>> waiters = new ArrayList<>();
    private Duration windowEnds;
    private Duration expiresAt;
    private boolean completed;
    private Optional<byte[]> result = Optional.empty();

    /**
     * Creates an entry for an attempt that has not completed.
     *
     * @param attempt id and operation of the original
     * @param windowEnds end of the deduplication window for arrival times, on the monotonic clock
     * @param windowEndsUnixMillis end of the window for client timestamps, in Unix milliseconds;
     *     empty if the original had no client timestamp
     */
    CacheEntry(
            CacheKey key,
            Original attempt,
            RequestBody body,
            Duration windowEnds,
            OptionalLong windowEndsUnixMillis) {
        this.key = key;
        this.id = attempt.id();
        this.operation = attempt.operation();
        this.body = body;
        this.windowEnds = windowEnds;
        this.windowEndsUnixMillis = windowEndsUnixMillis;
        // A repeat may be read long after it arrived, so the entry is retained for one client
        // timeout after its window.
        this.expiresAt = windowEnds.plus(operation.clientTimeout());
    }

    /** The id and the requested operation of an original attempt. */
    record Original(InvocationId id, Operation operation) {}

    CacheKey key() {
        return key;
    }

    InvocationId id() {
        return id;
    }

    /** Time at which the entry is removed, on the monotonic clock. */
    Duration expiresAt() {
        return expiresAt;
    }

    boolean isCompleted() {
        return completed;
    }

    Optional<byte[]> result() {
        return result;
    }

    /** Bytes that count towards the cache's size limit. */
    int sizeBytes() {
        return OVERHEAD_BYTES + body.sizeBytes() + result.map(bytes -> bytes.length).orElse(0);
    }

    /**
     * Returns whether an attempt is within the window by either clock, as the client's clock may
     * have been set back since the original.
     */
    boolean isInWindow(Attempt attempt) {
        boolean sentWithinWindow =
                windowEndsUnixMillis.isPresent()
                        && attempt.sentUnixMillis() < windowEndsUnixMillis.getAsLong();
        return attempt.arrivedAt().compareTo(windowEnds) < 0 || sentWithinWindow;
    }

    /** Returns whether a repeat's operation or body differs from the original's. */
    boolean conflictsWith(Operation otherOperation, byte[] otherBody) {
        if (body instanceof RequestBody.NotCompared) {
            return false;
        }
        return !operation.equals(otherOperation) || !body.matches(otherBody);
    }

    /**
     * Marks the attempt as completed; the result is empty if the attempt failed or the result is
     * not stored.
     */
    void complete(Optional<byte[]> storedResult) {
        completed = true;
        result = storedResult;
    }

    /**
     * Sets the end of both the window and the entry. The caller must first remove the entry from
     * any queue that is ordered by {@link #expiresAt}.
     */
    void expireAt(Duration end) {
        windowEnds = end;
        expiresAt = end;
    }

    void addWaiter(Consumer<Optional<byte[]>> waiter) {
        waiters.add(waiter);
    }

    /** Passes the result to all waiters and removes them. */
    void notifyWaiters(Optional<byte[]> outcome) {
        List<Consumer<Optional<byte[]>>> toNotify = List.copyOf(waiters);
        waiters.clear();
        toNotify.forEach(waiter -> waiter.accept(outcome));
    }
}
