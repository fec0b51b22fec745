package ochretiller.audit;

import java.util.Arrays;

/**
 * One record of a {@link HashChain}. Immutable, as long as nobody writes to its arrays.
 *
 * @param number 1 for the first, one more each
 * @param previousHash hash of the record before, zeros for the first
 * @param hash hash over number, previous hash and body
 * @param body what it says
 */
public record ChainedRecord(long number, byte[] previousHash, byte[] hash, byte[] body) {
    /** Whether its hash is that of what it says. */
    public boolean isIntact() {
        return Arrays.equals(hash, HashChain.hash(number, previousHash, body));
    }
}
