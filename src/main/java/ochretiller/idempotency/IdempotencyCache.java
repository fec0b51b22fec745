package ochretiller.idempotency;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;

/**
 * The table of keys: which kept try one repeats, and the results that repeats are answered with.
 */
public final class IdempotencyCache {
    /** In place of the Unix milliseconds of a try that no caller has dated. */
    public static final long NO_CLIENT_TIMESTAMP = Long.MAX_VALUE;

    /** Bytes that an entry takes beside its result. */
    private static final int ENTRY = 400;

    /**
     * A try is dated by one clock and known by another, each gathering by its start: repeats at the
     * edge are tied still.
     */
    private static final Duration SLACK = Duration.ofMillis(100);

    private final long mostBytes;
    private final Duration fresh;
    private final Map<Object, Entry> byKey = new HashMap<>();
    private final Map<InvocationId, Entry> byId = new HashMap<>();
    private final PriorityQueue<Entry> ending =
            new PriorityQueue<>(Comparator.comparing((Entry e) -> e.forgetAt));
    private long bytes;

    /** What reads share: the operation and what it is about. */
    private record ReadKey(Operation operation, String object) {
        @Override
        public boolean equals(Object other) {
            return other instanceof ReadKey key
                    && key.operation.equals(operation)
                    && key.object.equals(object);
        }

        @Override
        public int hashCode() {
            return 31 * operation.hashCode() + object.hashCode();
        }
    }

    private static final class Entry {
        final Object key;
        final InvocationId id;
        final Operation operation;

        /** What a tokened try asked for; null for a read, and where only its hash is known. */
        final byte[] body;

        /** The hash of that where a former process has read it; else null. */
        byte[] hash;

        /** A repeat that reached the machine before this is tied to it; later ones are not. */
        Duration until;

        /** The like by the clock of those who date tries, in Unix milliseconds. */
        long untilUnix = Long.MIN_VALUE;

        Duration forgetAt;
        boolean over;
        byte[] result;
        final List<Consumer<byte[]>> waiting = new ArrayList<>();

        Entry(Object key, InvocationId id, Operation operation, byte[] body, Duration until) {
            this.key = key;
            this.id = id;
            this.operation = operation;
            this.body = body;
            this.until = until;
        }

        int size() {
            return ENTRY + (body == null ? 0 : body.length) + (result == null ? 0 : result.length);
        }
    }

    /**
     * An empty table.
     *
     * @param mostBytes bytes that results may take together
     * @param fresh how long the result of a read may serve others; zero for never
     */
    public IdempotencyCache(long mostBytes, Duration fresh) {
        this.mostBytes = mostBytes;
        this.fresh = fresh;
    }

    private static Object key(Operation operation, String token, String object) {
        if (operation.isKeyed()) {
            return token;
        }
        return operation.isIdempotent() && object != null ? new ReadKey(operation, object) : null;
    }

    /**
     * The try that one which arrived then repeats, or null. A read that repeats none is known from
     * here on.
     *
     * @param t0 the arrival as its caller dated it, in Unix milliseconds, or {@link #NO_CLIENT_TIMESTAMP}
     */
    public InvocationId findOriginalOrTrack(
            InvocationId id,
            Operation operation,
            String token,
            String object,
            Duration arrived,
            long t0,
            Duration now) {
        while (!ending.isEmpty() && ending.peek().forgetAt.compareTo(now) <= 0) {
            drop(ending.peek());
        }
        Object key = key(operation, token, object);
        if (key == null) {
            return null;
        }
        Entry entry = byKey.get(key);
        // By either clock: guards against a run within the window where the Unix clock was set back
        // meanwhile.
        if (entry != null && (arrived.compareTo(entry.until) < 0 || t0 < entry.untilUnix)) {
            return entry.id;
        }
        if (!operation.isKeyed()) {
            put(new Entry(key, id, operation, null, Duration.ofDays(10_000)));
        }
        return null;
    }

    /** Puts a tokened try, which is dated {@code t0}, into the table until then. */
    public void track(
            InvocationId id,
            Operation operation,
            String token,
            byte[] body,
            long t0,
            Duration until) {
        if (!operation.isKeyed()) {
            return;
        }
        Entry entry = new Entry(token, id, operation, body, until.plus(SLACK));
        if (t0 != NO_CLIENT_TIMESTAMP) {
            entry.untilUnix = t0 + operation.deduplicationWindow().plus(SLACK).toMillis();
        }
        put(entry);
    }

    /**
     * A tokened try of a former process: it is known by the hash of its body, and its result is
     * kept elsewhere.
     */
    public void restore(
            InvocationId id,
            Operation operation,
            String token,
            byte[] hash,
            Duration until,
            boolean over) {
        Entry entry = new Entry(token, id, operation, null, until);
        entry.hash = hash;
        entry.over = over;
        put(entry);
    }

    /** SHA-256, for bodies that are compared over a restart. */
    public static byte[] bodyDigest(byte[] body) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(body);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // each Java platform has it
        }
    }

    /**
     * The try that is known under this token now, or null: a forerunner that never ran has left it
     * to another.
     */
    public InvocationId findByToken(String token) {
        Entry entry = byKey.get(token);
        return entry == null ? null : entry.id;
    }

    /**
     * Whether a kept tokened try asked for something else: the source answers such a repeat with an
     * error.
     */
    public boolean conflictsWith(InvocationId id, Operation operation, byte[] body) {
        Entry entry = byId.get(id);
        if (entry == null || entry.body == null && entry.hash == null) {
            return false;
        }
        return !entry.operation.equals(operation)
                || !(entry.hash == null
                        ? Arrays.equals(entry.body, body)
                        : Arrays.equals(entry.hash, bodyDigest(body)));
    }

    /** Whether a kept try has run and ended. */
    public boolean isCompleted(InvocationId id) {
        Entry entry = byId.get(id);
        return entry != null && entry.over;
    }

    private void put(Entry entry) {
        Entry old = byKey.get(entry.key);
        if (old != null) {
            drop(old);
        }
        // A repeat may be read long after it came: an entry is known for one more client timeout.
        entry.forgetAt = entry.until.plus(entry.operation.clientTimeout());
        byKey.put(entry.key, entry);
        byId.put(entry.id, entry);
        ending.add(entry);
        bytes += entry.size();
    }

    private void drop(Entry entry) {
        byKey.remove(entry.key, entry);
        byId.remove(entry.id, entry);
        ending.remove(entry);
        bytes -= entry.size();
        entry.waiting.forEach(waiting -> waiting.accept(null));
    }

    public void forget(InvocationId id) {
        Entry entry = byId.get(id);
        if (entry != null) {
            drop(entry);
        }
    }

    /** A try is over; {@code result} is null unless it succeeded. */
    public void complete(InvocationId id, boolean tokened, byte[] result, Duration now) {
        Entry entry = byId.get(id);
        if (entry == null || entry.over) {
            return;
        }
        entry.over = true;
        // Guards against a full memory: without its result an entry stays, and its repeats are
        // errored, never run.
        if (result != null && bytes + result.length <= mostBytes) {
            entry.result = result;
            bytes += result.length;
        }
        entry.waiting.forEach(waiting -> waiting.accept(result));
        entry.waiting.clear();
        if (tokened) {
            return;
        }
        if (result == null || fresh.isZero()) {
            drop(entry);
        } else {
            ending.remove(entry);
            entry.until = entry.forgetAt = now.plus(fresh);
            ending.add(entry);
        }
    }

    /**
     * Hands over the result of a kept try once it is there, or null where there is none to be had.
     */
    public void whenCompleted(InvocationId id, Consumer<byte[]> then) {
        Entry entry = id == null ? null : byId.get(id);
        if (entry == null || entry.over) {
            then.accept(entry == null ? null : entry.result);
        } else {
            entry.waiting.add(then);
        }
    }
}
