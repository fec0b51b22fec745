package ochretiller.audit;

import java.util.Arrays;

/**
 * One record of a {@link HashChain}. Its arrays must not be modified.
 *
 * @param number position in the chain, starting at 1
 * @param previousHash hash of the previous record, zeros for the first
 * @param hash hash of number, previous hash and body
 * @param body encoded content of the record
 */
public record ChainedRecord(long number, byte[] previousHash, byte[] hash, byte[] body) {
    /** Returns whether the stored hash matches the other components. */
    public boolean isIntact() {
        return Arrays.equals(hash, HashChain.hash(number, previousHash, body));
    }
}
