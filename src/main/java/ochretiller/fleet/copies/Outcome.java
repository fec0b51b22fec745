package ochretiller.fleet.copies;

import net.openhft.hashing.LongHashFunction;

/**
 * How a claimed run has ended.
 *
 * @param succeeded whether there is a result; a run that failed may have had its effect, and is
 *     never run again
 * @param body hash of what was asked for
 * @param result what repeats are answered with, a character a byte; empty where it did not succeed,
 *     or is long
 * @param size bytes of the result
 * @param sum XXH3 of the result
 * @param here whether whoever has this has the result, too; of a long one the bytes are kept apart
 */
public record Outcome(
        boolean succeeded, String body, String result, int size, long sum, boolean here) {
    /** Bytes of a result that goes with its entry; a longer one goes by pieces. */
    public static final int INLINE = 2_048;

    /** Bytes of a result that is kept at all. */
    public static final int LONGEST = 512 * 1024;

    /** One whose result goes with it. */
    public Outcome(boolean succeeded, String body, String result) {
        this(succeeded, body, result, result.length(), sum(result), true);
    }

    /** One whose result is kept apart. */
    public static Outcome apart(String body, String result) {
        return new Outcome(true, body, "", result.length(), sum(result), true);
    }

    public static long sum(String result) {
        return LongHashFunction.xx3().hashChars(result);
    }

    /** Whether its result goes by pieces. */
    public boolean big() {
        return succeeded && size > INLINE;
    }

    /** The same at one that has yet to fetch the result, if it is long. */
    Outcome told() {
        return big() ? with(false) : this;
    }

    Outcome with(boolean itIsHere) {
        return here == itIsHere ? this : new Outcome(succeeded, body, result, size, sum, itIsHere);
    }

    /** Two copies of one end: whoever has the result has it. */
    Outcome join(Outcome other) {
        return here ? this : other;
    }

    int bytes() {
        return 64 + body.length() + result.length();
    }
}
