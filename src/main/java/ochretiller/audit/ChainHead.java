package ochretiller.audit;

/**
 * Where a chain ends, or ended when somebody looked. Immutable.
 *
 * @param number number of the last record, 0 without any
 * @param hash that record's hash in hexadecimal, empty without any
 */
public record ChainHead(long number, String hash) {
    /** The head of a chain without records. */
    public static final ChainHead EMPTY = new ChainHead(0, "");

    /**
     * Checks the form.
     *
     * @throws IllegalArgumentException where the number is negative or the hash has another length
     */
    public ChainHead {
        boolean isHash = hash.isEmpty() || hash.length() == 2 * HashChain.HASH_BYTES;
        if (number < 0 || !isHash) {
            throw new IllegalArgumentException("no head");
        }
    }
}
