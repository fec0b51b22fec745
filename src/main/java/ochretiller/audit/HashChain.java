package ochretiller.audit;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;

/**
 * The end of a hash chain, to which records are appended. The hash of a record is the SHA-256 of
 * its number, the previous record's hash and its body, so that a known hash proves that all records
 * up to it are unchanged (Haber and Stornetta 1991); {@link ChainVerifier} checks this. Not
 * thread-safe; owned by the thread that appends.
 */
public final class HashChain {
    /** Length of a hash in bytes. */
    public static final int HASH_BYTES = 32;

    private static final byte[] INITIAL_PREVIOUS_HASH = new byte[HASH_BYTES];

    private long lastNumber;
    private byte[] lastHash;

    private HashChain(long lastNumber, byte[] lastHash) {
        this.lastNumber = lastNumber;
        this.lastHash = lastHash;
    }

    /** Returns an empty chain. */
    public static HashChain empty() {
        return new HashChain(0, INITIAL_PREVIOUS_HASH);
    }

    /** Returns a chain that continues after this record. */
    public static HashChain resumeAfter(ChainedRecord last) {
        return new HashChain(last.number(), last.hash());
    }

    /** Returns a chain that continues after the last record, or an empty chain without one. */
    public static HashChain resumeAfter(Optional<ChainedRecord> last) {
        return last.map(HashChain::resumeAfter).orElseGet(HashChain::empty);
    }

    /** Returns a copy of a chain; appending to either does not change the other. */
    public static HashChain copyOf(HashChain other) {
        return new HashChain(other.lastNumber, other.lastHash);
    }

    /** Appends a record with this body and returns it. */
    public ChainedRecord append(byte[] body) {
        long number = lastNumber + 1;
        ChainedRecord record =
                new ChainedRecord(number, lastHash, hash(number, lastHash, body), body);
        lastNumber = number;
        lastHash = record.hash();
        return record;
    }

    /** Returns the number and the hash of the last record. */
    public ChainHead head() {
        return lastNumber == 0
                ? ChainHead.EMPTY
                : new ChainHead(lastNumber, HexFormat.of().formatHex(lastHash));
    }

    /** Returns whether this is the previous hash that the first record of a chain has. */
    static boolean isInitialPreviousHash(byte[] hash) {
        return Arrays.equals(hash, INITIAL_PREVIOUS_HASH);
    }

    static byte[] hash(long number, byte[] previousHash, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(Long.BYTES).putLong(number).array());
            digest.update(previousHash);
            return digest.digest(body);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
