package ochretiller.audit;

/**
 * The last record of a hash chain at some point in time. Immutable.
 *
 * @param number number of that record, 0 for an empty chain
 * @param hash hash of that record in hexadecimal, empty for an empty chain
 */
public record ChainHead(long number, String hash) {
    /** The head of an empty chain. */
    public static final ChainHead EMPTY = new ChainHead(0, "");

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if the number is negative or the hash has the wrong length
     */
    public ChainHead {
        boolean isValidHash = hash.isEmpty() || hash.length() == 2 * HashChain.HASH_BYTES;
        if (number < 0 || !isValidHash) {
            throw new IllegalArgumentException(
                    "invalid chain head: number " + number + ", hash '" + hash + "'");
        }
    }
}
