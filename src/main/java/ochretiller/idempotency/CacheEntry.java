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
 * An original attempt with its result, once there is one. Owned by the thread that owns the {@link
 * IdempotencyCache}.
 */
final class CacheEntry {
    /** Memory of an entry beside its body and result, estimated. */
    private static final int OVERHEAD_BYTES = 400;

    private final CacheKey key;
    private final InvocationId id;
    private final Operation operation;
    private final RequestBody body;
    private final OptionalLong windowEndsUnixMillis;
    private final List<Consumer<Optional<byte[]>>> waiters = new ArrayList<>();
    private Duration windowEnds;
    private Duration forgetAt;
    private boolean completed;
    private Optional<byte[]> result = Optional.empty();

    /**
     * An entry whose attempt has not completed.
     *
     * @param attempt id and operation of the original
     * @param windowEnds attempts that arrive before this repeat it, on the monotonic clock
     * @param windowEndsUnixMillis the same for attempts that are dated by their clients; empty
     *     where the original was not dated
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
        // A repeat may be read long after it arrived: the entry outlives its window by one client
        // timeout.
        this.forgetAt = windowEnds.plus(operation.clientTimeout());
    }

    /** Names an original attempt and what it asked for. */
    record Original(InvocationId id, Operation operation) {}

    CacheKey key() {
        return key;
    }

    InvocationId id() {
        return id;
    }

    /** When the entry is dropped, on the monotonic clock. */
    Duration forgetAt() {
        return forgetAt;
    }

    boolean isCompleted() {
        return completed;
    }

    Optional<byte[]> result() {
        return result;
    }

    /** Bytes that count against the cache's bound. */
    int sizeBytes() {
        return OVERHEAD_BYTES + body.sizeBytes() + result.map(bytes -> bytes.length).orElse(0);
    }

    /**
     * Whether an attempt falls into the window by either clock; the client's clock may have been
     * set back meanwhile.
     */
    boolean coversArrivalOf(Attempt attempt) {
        boolean datedWithin =
                windowEndsUnixMillis.isPresent()
                        && attempt.sentUnixMillis() < windowEndsUnixMillis.getAsLong();
        return attempt.arrivedAt().compareTo(windowEnds) < 0 || datedWithin;
    }

    /** Whether a repeat asks for something else than the original did. */
    boolean conflictsWith(Operation otherOperation, byte[] otherBody) {
        if (body instanceof RequestBody.Irrelevant) {
            return false;
        }
        return !operation.equals(otherOperation) || !body.matches(otherBody);
    }

    /** The attempt has completed; the result is empty where it failed or is not kept. */
    void complete(Optional<byte[]> keptResult) {
        completed = true;
        result = keptResult;
    }

    /**
     * From now on it is known until then, and no longer; the owner has taken it out of any order by
     * time.
     */
    void expireAt(Duration end) {
        windowEnds = end;
        forgetAt = end;
    }

    void addWaiter(Consumer<Optional<byte[]>> waiter) {
        waiters.add(waiter);
    }

    /** Hands the result to all that wait for it. */
    void notifyWaiters(Optional<byte[]> outcome) {
        List<Consumer<Optional<byte[]>>> toNotify = List.copyOf(waiters);
        waiters.clear();
        toNotify.forEach(waiter -> waiter.accept(outcome));
    }
}
