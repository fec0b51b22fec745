package ochretiller.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.RequestAttempt;
import ochretiller.idempotency.Attempt;
import ochretiller.idempotency.IdempotencyCache;
import ochretiller.model.InvocationId;

/**
 * The request attempts that the admission controller handles, from arrival until they have been
 * answered and no longer run. Event loop thread only.
 */
final class AttemptTable {
    private static final byte[] EMPTY_BODY = new byte[0];

    private final ClientConnections connections;
    private final IdempotencyCache cache;
    private final AdmissionClock clock;
    private final AttemptTimers conflictTimers;
    private final Map<InvocationId, Entry> entries = new HashMap<>();

    private static final class Entry {
        private final RequestAttempt attempt;
        private final Optional<InvocationId> original;

        /** Body of the call that the run waits for; empty if it waits for none. */
        private byte[] callBody = EMPTY_BODY;

        Entry(RequestAttempt attempt, Optional<InvocationId> original) {
            this.attempt = attempt;
            this.original = original;
        }
    }

    AttemptTable(
            ClientConnections connections,
            IdempotencyCache cache,
            AdmissionClock clock,
            AttemptTimers conflictTimers) {
        this.connections = connections;
        this.cache = cache;
        this.clock = clock;
        this.conflictTimers = conflictTimers;
    }

    /**
     * Adds an attempt.
     *
     * @param original the attempt that this one repeats, if any
     */
    void add(RequestAttempt attempt, Optional<InvocationId> original) {
        entries.put(attempt.id, new Entry(attempt, original));
    }

    /** Returns an attempt, or empty if it was forgotten. */
    Optional<RequestAttempt> find(InvocationId id) {
        Entry entry = entries.get(id);
        return entry == null ? Optional.empty() : Optional.of(entry.attempt);
    }

    /**
     * Returns an attempt that must exist.
     *
     * @throws IllegalStateException if it does not
     */
    RequestAttempt get(InvocationId id) {
        Entry entry = entries.get(id);
        if (entry == null) {
            throw new IllegalStateException("unknown invocation " + id);
        }
        return entry.attempt;
    }

    /** Returns the attempt that this one repeats, if any. */
    Optional<InvocationId> originalOf(RequestAttempt attempt) {
        Entry entry = entries.get(attempt.id);
        return entry == null ? Optional.empty() : entry.original;
    }

    /** Converts an attempt to the type that the idempotency cache uses. */
    Attempt toCacheAttempt(RequestAttempt attempt) {
        return new Attempt(
                attempt.id,
                attempt.operation,
                Optional.ofNullable(attempt.token),
                Optional.ofNullable(attempt.object),
                clock.toAdmissionTime(attempt.arrivedAt),
                attempt.sentAtMillis);
    }

    /** Stores the body of the call that a run waits for. */
    void putCallBody(RequestAttempt attempt, byte[] body) {
        Entry entry = entries.get(attempt.id);
        if (entry != null) {
            entry.callBody = body;
        }
    }

    /** Returns the body of the call that a run waits for; empty if there is none. */
    byte[] callBody(RequestAttempt attempt) {
        Entry entry = entries.get(attempt.id);
        return entry == null ? EMPTY_BODY : entry.callBody;
    }

    /** Removes the body of a call that was answered. */
    void removeCallBody(RequestAttempt attempt) {
        putCallBody(attempt, EMPTY_BODY);
    }

    /** Forgets an attempt that was answered and is not running; otherwise does nothing. */
    void forgetIfDone(RequestAttempt attempt) {
        if (!attempt.isAnswered() || attempt.isRunning() || entries.remove(attempt.id) == null) {
            return;
        }
        conflictTimers.remove(attempt);
        cache.complete(attempt.id, Optional.empty(), clock.now());
        connections.removeAttempt(attempt);
    }
}
