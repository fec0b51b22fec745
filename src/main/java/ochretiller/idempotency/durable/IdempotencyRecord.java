package ochretiller.idempotency.durable;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * The stored state of a keyed invocation, excluding its result. Immutable and thread-safe if its
 * array is not modified.
 *
 * @param progress last known progress of the invocation
 * @param token the idempotency key chosen by the client; also the key in the store
 * @param operation name of its operation
 * @param runId id of its run on the connection to the processor
 * @param bodyDigest SHA-256 of its request body
 * @param markedAtMillis time just before its run, on the store's clock
 * @param windowEndsAtMillis end of its deduplication window, on the store's clock
 */
public record IdempotencyRecord(
        InvocationProgress progress,
        String token,
        String operation,
        String runId,
        byte[] bodyDigest,
        long markedAtMillis,
        long windowEndsAtMillis) {
    /**
     * Longest operation name; with both names at their limits a record fits the store's metadata.
     */
    private static final int MAX_OPERATION_CHARS = 100;

    private static final int MAX_RUN_ID_CHARS = 50;
    private static final int DIGEST_BYTES = 32;

    /** Size of progress, two timestamps, digest and the lengths of two names. */
    private static final int FIXED_BYTES = 1 + 2 * Long.BYTES + DIGEST_BYTES + 2;

    /** Returns a copy with another progress. */
    public IdempotencyRecord withProgress(InvocationProgress next) {
        return new IdempotencyRecord(
                next, token, operation, runId, bodyDigest, markedAtMillis, windowEndsAtMillis);
    }

    /** Returns whether a record with these names fits the store's metadata. */
    public static boolean canStoreNames(String operation, String runId) {
        return operation.length() <= MAX_OPERATION_CHARS && runId.length() <= MAX_RUN_ID_CHARS;
    }

    /** Returns the key of this record in the store: the token in UTF-8. */
    public byte[] encodeKey() {
        return token.getBytes(StandardCharsets.UTF_8);
    }

    /** Encodes all fields except the token, as metadata for the store. */
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
     * Decodes the output of {@link #encodeKey} and {@link #encodeMetadata}; empty if the metadata
     * is not valid.
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

    /** Returns whether this is the SHA-256 of the invocation's request body. */
    public boolean hasBodyDigest(byte[] digest) {
        return Arrays.equals(bodyDigest, digest);
    }
}
