package ochretiller.fleet.replication;

import net.openhft.hashing.LongHashFunction;

/**
 * How a claimed run has ended.
 *
 * @param succeeded whether there is a result; a run that failed may have had its effect and is
 *     never run again
 * @param fingerprint operation and hash of the request, so that a token used for another request is
 *     recognised
 * @param result the result that repeats are answered with, one character a byte (ISO 8859-1); empty
 *     where the run failed or the result is chunked
 * @param resultSize bytes of the result
 * @param checksum XXH3 (64 bits, seed 0) of the result
 * @param resultPresent whether whoever holds this outcome holds the result too; a chunked result is
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
     * Bytes of a result that travels within its entry at most; a longer one is transferred in
     * chunks.
     */
    public static final int MAX_INLINE_BYTES = 2_048;

    /** Bytes of a result that is stored at all. */
    public static final int MAX_RESULT_BYTES = 512 * 1024;

    /** Estimated memory of an outcome without its texts. */
    private static final int BASE_BYTES = 64;

    /** An outcome that carries its result. */
    public ClaimOutcome(boolean succeeded, String fingerprint, String result) {
        this(succeeded, fingerprint, result, result.length(), checksum(result), true);
    }

    /** A successful outcome whose result is stored separately. */
    public static ClaimOutcome chunked(String fingerprint, String result) {
        return new ClaimOutcome(true, fingerprint, "", result.length(), checksum(result), true);
    }

    /** Returns the checksum of a result. */
    public static long checksum(String result) {
        return LongHashFunction.xx3().hashChars(result);
    }

    /** Returns whether the result is stored separately and transferred in chunks. */
    public boolean isChunked() {
        return succeeded && resultSize > MAX_INLINE_BYTES;
    }

    /**
     * Returns this outcome as a receiver holds it at first: a chunked result has yet to be
     * transferred.
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
