package ochretiller.fleet.versions;

/**
 * What a server says of itself to the voters.
 *
 * @param acts the version that it acts on
 * @param hash of that: two of one number and other bytes are a fork
 * @param refused the version that it cannot act on, or 0
 * @param why why not; empty where it refuses none
 * @param about the version that is brought out, or was last, as this server knows; what it counts
 *     is about that
 * @param on what became of invocations under the version that is brought out, as far as it acts on
 *     it
 * @param before the same under the version before
 */
public record Report(
        long acts, String hash, long refused, String why, long about, Counts on, Counts before) {
    /** Characters of a reason. */
    public static final int LONGEST = 200;

    public Report {
        if (why.length() > LONGEST || hash.length() > 64 || acts < 0 || about < 0 || refused < 0) {
            throw new IllegalArgumentException("no report");
        }
    }
}
