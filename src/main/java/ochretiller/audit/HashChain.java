package ochretiller.audit;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;

/**
 * The end of a hash chain, to which records are appended. Each record has the SHA-256 of its
 * number, of the hash of the record before and of its body, so whoever knows a later hash can tell
 * whether everything before it is unchanged (Haber and Stornetta 1991). {@link ChainVerifier} does
 * that. Not safe for several threads; owned by who appends.
 */
public final class HashChain {
    /** Bytes of a hash. */
    public static final int HASH_BYTES = 32;

    private static final byte[] NO_PREVIOUS_HASH = new byte[HASH_BYTES];

    private long lastNumber;
    private byte[] lastHash;

    private HashChain(long lastNumber, byte[] lastHash) {
        this.lastNumber = lastNumber;
        this.lastHash = lastHash;
    }

    /** A chain without records. */
    public static HashChain empty() {
        return new HashChain(0, NO_PREVIOUS_HASH);
    }

    /** A chain that goes on after this record. */
    public static HashChain continuing(ChainedRecord last) {
        return new HashChain(last.number(), last.hash());
    }

    /** A chain that goes on after the last record, or a new one without it. */
    public static HashChain continuing(Optional<ChainedRecord> last) {
        return last.map(HashChain::continuing).orElseGet(HashChain::empty);
    }

    /**
     * A chain that goes on where another one ends now; appending to either does not change the
     * other.
     */
    public static HashChain copyOf(HashChain other) {
        return new HashChain(other.lastNumber, other.lastHash);
    }

    /** Appends the next record. */
    public ChainedRecord append(byte[] body) {
        long number = lastNumber + 1;
        ChainedRecord record =
                new ChainedRecord(number, lastHash, hash(number, lastHash, body), body);
        lastNumber = number;
        lastHash = record.hash();
        return record;
    }

    /** Where it ends. */
    public ChainHead head() {
        return lastNumber == 0
                ? ChainHead.EMPTY
                : new ChainHead(lastNumber, HexFormat.of().formatHex(lastHash));
    }

    /** Whether this is what the first record of a chain has for the hash before it. */
    static boolean isNoPreviousHash(byte[] hash) {
        return Arrays.equals(hash, NO_PREVIOUS_HASH);
    }

    static byte[] hash(long number, byte[] previousHash, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(Long.BYTES).putLong(number).array());
            digest.update(previousHash);
            return digest.digest(body);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
