package ochretiller.fleet.replication;

import net.openhft.hashing.LongHashFunction;

/**
 * The outcome of a claimed run.
 *
 * @param succeeded whether the run produced a result; a failed run may have had side effects and is
 *     never repeated
 * @param fingerprint operation and hash of the request, to detect a token that is reused for
 *     another request
 * @param result the result that repeated invocations are answered with, one character per byte (ISO
 *     8859-1); empty if the run failed or the result is chunked
 * @param resultSize size of the result in bytes
 * @param checksum XXH3 (64 bits, seed 0) of the result
 * @param resultPresent whether the holder of this outcome also has the result; a chunked result is
 *     stored separately
 */
public record ClaimOutcome(
        boolean succeeded,
        String fingerprint,
        String result,
        int resultSize,
        long checksum,
        boolean resultPresent) {
    /**
     * Maximum size in bytes of a result that is part of its entry; longer results are transferred
     * in chunks.
     */
    public static final int MAX_INLINE_BYTES = 2_048;

    /** Maximum size in bytes of a result that is stored. */
    public static final int MAX_RESULT_BYTES = 512 * 1024;

    /** Estimated memory of an outcome without its strings. */
    private static final int BASE_BYTES = 64;

    /** Creates an outcome that contains its result. */
    public ClaimOutcome(boolean succeeded, String fingerprint, String result) {
        this(succeeded, fingerprint, result, result.length(), checksum(result), true);
    }

    /** Creates a successful outcome whose result is stored separately. */
    public static ClaimOutcome chunked(String fingerprint, String result) {
        return new ClaimOutcome(true, fingerprint, "", result.length(), checksum(result), true);
    }

    /** Returns the XXH3 checksum (64 bits, seed 0) of a result. */
    public static long checksum(String result) {
        return LongHashFunction.xx3().hashChars(result);
    }

    /** Returns whether the result is stored separately and transferred in chunks. */
    public boolean isChunked() {
        return succeeded && resultSize > MAX_INLINE_BYTES;
    }

    /**
     * Returns this outcome as sent to other replicas: a chunked result is marked as not present,
     * since it is transferred separately.
     */
    ClaimOutcome forTransfer() {
        return isChunked() ? withResultPresent(false) : this;
    }

    ClaimOutcome withResultPresent(boolean present) {
        if (resultPresent == present) {
            return this;
        }
        return new ClaimOutcome(succeeded, fingerprint, result, resultSize, checksum, present);
    }

    /** Merges two replicas' copies of the same outcome: the one with the result prevails. */
    ClaimOutcome merge(ClaimOutcome other) {
        return resultPresent ? this : other;
    }

    int estimatedBytes() {
        return BASE_BYTES + fingerprint.length() + result.length();
    }
}
