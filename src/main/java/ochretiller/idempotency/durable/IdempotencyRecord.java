package ochretiller.idempotency.durable;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * What is stored of a keyed invocation beside its result. Immutable, as long as nobody writes to
 * its array; safe for any thread.
 *
 * @param progress how far it is known to have come
 * @param token the idempotency key that its client chose; the key in the store
 * @param operation name of its operation
 * @param runId name of its run on the connection to the processor
 * @param bodyDigest SHA-256 of its request body
 * @param markedAtMillis when its run was about to begin, on the store's clock
 * @param windowEndsAtMillis repeats that arrive before this belong to it, on the store's clock
 */
public record IdempotencyRecord(
        InvocationProgress progress,
        String token,
        String operation,
        String runId,
        byte[] bodyDigest,
        long markedAtMillis,
        long windowEndsAtMillis) {
    /** Longest names, in characters, that fit the store's metadata together with the rest. */
    private static final int MAX_OPERATION_CHARS = 100;

    private static final int MAX_RUN_ID_CHARS = 50;
    private static final int DIGEST_BYTES = 32;

    /** Progress, two times, digest and the lengths of two names. */
    private static final int FIXED_BYTES = 1 + 2 * Long.BYTES + DIGEST_BYTES + 2;

    /** The same with another progress. */
    public IdempotencyRecord withProgress(InvocationProgress next) {
        return new IdempotencyRecord(
                next, token, operation, runId, bodyDigest, markedAtMillis, windowEndsAtMillis);
    }

    /** Whether a record with these names can be stored. */
    public static boolean namesFit(String operation, String runId) {
        return operation.length() <= MAX_OPERATION_CHARS && runId.length() <= MAX_RUN_ID_CHARS;
    }

    /** The key in the store. */
    public byte[] encodeKey() {
        return token.getBytes(StandardCharsets.UTF_8);
    }

    /** All but the token, as the store's metadata. */
    public byte[] encodeMetadata() {
        byte[] operationBytes = operation.getBytes(StandardCharsets.UTF_8);
        byte[] runIdBytes = runId.getBytes(StandardCharsets.UTF_8);
        ByteBuffer out =
                ByteBuffer.allocate(FIXED_BYTES + operationBytes.length + runIdBytes.length);
        out.put(progress.code());
        out.putLong(markedAtMillis);
        out.putLong(windowEndsAtMillis);
        out.put(bodyDigest);
        out.put((byte) operationBytes.length);
        out.put(operationBytes);
        out.put((byte) runIdBytes.length);
        out.put(runIdBytes);
        return out.array();
    }

    /**
     * Reads what {@link #encodeKey} and {@link #encodeMetadata} have written; empty for bytes that
     * they cannot have written.
     */
    public static Optional<IdempotencyRecord> decode(byte[] key, byte[] metadata) {
        if (metadata.length < FIXED_BYTES) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(metadata);
        Optional<InvocationProgress> progress = InvocationProgress.ofCode(in.get());
        long markedAtMillis = in.getLong();
        long windowEndsAtMillis = in.getLong();
        byte[] bodyDigest = new byte[DIGEST_BYTES];
        in.get(bodyDigest);
        Optional<String> operation = decodeName(in);
        Optional<String> runId = operation.flatMap(ignored -> decodeName(in));
        if (progress.isEmpty() || runId.isEmpty() || in.hasRemaining()) {
            return Optional.empty();
        }
        String token = new String(key, StandardCharsets.UTF_8);
        return Optional.of(
                new IdempotencyRecord(
                        progress.get(),
                        token,
                        operation.get(),
                        runId.get(),
                        bodyDigest,
                        markedAtMillis,
                        windowEndsAtMillis));
    }

    private static Optional<String> decodeName(ByteBuffer in) {
        if (!in.hasRemaining()) {
            return Optional.empty();
        }
        int length = Byte.toUnsignedInt(in.get());
        if (length > in.remaining()) {
            return Optional.empty();
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return Optional.of(new String(bytes, StandardCharsets.UTF_8));
    }

    /** Whether a request body with this SHA-256 is the one that the invocation came with. */
    public boolean hasBodyDigest(byte[] digest) {
        return Arrays.equals(bodyDigest, digest);
    }
}
