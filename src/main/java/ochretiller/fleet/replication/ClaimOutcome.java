package ochretiller.fleet.replication;

import net.openhft.hashing.LongHashFunction;

/**
 * How a claimed run has ended.
 *
 * @param succeeded whether there is a result; a run that failed may have had its effect, and is
 *     never run again
 * @param fingerprint hash of what was asked for
 * @param result what repeats are answered with, a character a byte; empty where it did not succeed,
 *     or is long
 * @param resultSize bytes of the result
 * @param checksum XXH3 of the result
 * @param resultPresent whether whoever has this has the result, too; of a long one the bytes are
 *     kept apart
 */
public record ClaimOutcome(
        boolean succeeded,
        String fingerprint,
        String result,
        int resultSize,
        long checksum,
        boolean resultPresent) {
    /** Bytes of a result that goes with its entry; a longer one goes by pieces. */
    public static final int MAX_INLINE_BYTES = 2_048;

    /** Bytes of a result that is kept at all. */
    public static final int MAX_RESULT_BYTES = 512 * 1024;

    /** One whose result goes with it. */
    public ClaimOutcome(boolean succeeded, String body, String result) {
        this(succeeded, body, result, result.length(), checksum(result), true);
    }

    /** One whose result is kept apart. */
    public static ClaimOutcome chunked(String body, String result) {
        return new ClaimOutcome(true, body, "", result.length(), checksum(result), true);
    }

    public static long checksum(String result) {
        return LongHashFunction.xx3().hashChars(result);
    }

    /** Whether its result goes by pieces. */
    public boolean isChunked() {
        return succeeded && resultSize > MAX_INLINE_BYTES;
    }

    /** The same at one that has yet to fetch the result, if it is long. */
    ClaimOutcome forTransfer() {
        return isChunked() ? withResultPresent(false) : this;
    }

    ClaimOutcome withResultPresent(boolean itIsHere) {
        return resultPresent == itIsHere
                ? this
                : new ClaimOutcome(succeeded, fingerprint, result, resultSize, checksum, itIsHere);
    }

    /** Two copies of one end: whoever has the result has it. */
    ClaimOutcome merge(ClaimOutcome other) {
        return resultPresent ? this : other;
    }

    int estimatedBytes() {
        return 64 + fingerprint.length() + result.length();
    }
}
