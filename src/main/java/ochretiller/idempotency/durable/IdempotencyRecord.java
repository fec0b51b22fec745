package ochretiller.idempotency.durable;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * What is remembered of one keyed invocation, beside its result.
 *
 * @param progress how far it is known to have come
 * @param token the token that it came under
 * @param operation name of its operation
 * @param runId its name on the processor's link
 * @param bodyDigest SHA-256 of what it asked for
 * @param markedAtMillis when its run was about to begin, store's time in milliseconds
 * @param windowEndsAtMillis repeats that arrive before this are tied to it, store's time in
 *     milliseconds
 */
public record IdempotencyRecord(
        Progress progress,
        String token,
        String operation,
        String runId,
        byte[] bodyDigest,
        long markedAtMillis,
        long windowEndsAtMillis) {
    /** How far one is known to have come. */
    public enum Progress {
        /** Its run may have begun; its end is unknown. */
        IN_FLIGHT("MARKED"),
        /** It has succeeded, and its result is kept. */
        SUCCEEDED("SUCCEEDED"),
        /** It has ended without a result, and may have had its effect. */
        ENDED_WITHOUT_RESULT("LOST");

        private final String externalName;

        Progress(String externalName) {
            this.externalName = externalName;
        }

        /**
         * The word by which {@code store list} names it; it stays whatever the constant is called.
         */
        public String externalName() {
            return externalName;
        }
    }

    /** Longest names, in bytes, that fit what a store holds in memory for each. */
    private static final int LONGEST_NAME = 100;

    private static final int HASH = 32;

    public IdempotencyRecord withProgress(Progress next) {
        return new IdempotencyRecord(
                next, token, operation, runId, bodyDigest, markedAtMillis, windowEndsAtMillis);
    }

    /** Whether names are short enough to be kept. */
    public static boolean namesFit(String operation, String rid) {
        return operation.length() <= LONGEST_NAME && rid.length() <= LONGEST_NAME / 2;
    }

    public byte[] encodeKey() {
        return token.getBytes(StandardCharsets.UTF_8);
    }

    /** All but the token, which is the key. */
    public byte[] encodeMetadata() {
        byte[] name = operation.getBytes(StandardCharsets.UTF_8);
        byte[] id = runId.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + 16 + HASH + 2 + name.length + id.length)
                .put((byte) progress.ordinal())
                .putLong(markedAtMillis)
                .putLong(windowEndsAtMillis)
                .put(bodyDigest)
                .put((byte) name.length)
                .put(name)
                .put((byte) id.length)
                .put(id)
                .array();
    }

    /** What {@link #encodeMetadata} has written, or null for bytes that it cannot have written. */
    public static IdempotencyRecord decode(byte[] key, byte[] meta) {
        if (meta.length < 1 + 16 + HASH + 2 || meta[0] < 0 || meta[0] >= Progress.values().length) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(meta);
        Progress state = Progress.values()[in.get()];
        long markedAt = in.getLong();
        long until = in.getLong();
        byte[] body = new byte[HASH];
        in.get(body);
        String name = text(in);
        String id = name == null ? null : text(in);
        if (id == null || in.hasRemaining()) {
            return null;
        }
        return new IdempotencyRecord(
                state, new String(key, StandardCharsets.UTF_8), name, id, body, markedAt, until);
    }

    private static String text(ByteBuffer in) {
        int length = in.hasRemaining() ? in.get() & 0xFF : Integer.MAX_VALUE;
        if (length > in.remaining()) {
            return null;
        }
        byte[] text = new byte[length];
        in.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    public boolean hasBodyDigest(byte[] hash) {
        return Arrays.equals(bodyDigest, hash);
    }
}
