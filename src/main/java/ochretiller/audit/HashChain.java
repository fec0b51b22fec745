package ochretiller.audit;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

/**
 * A chain of records: each has the hash of the one before and its own, over its number, that hash
 * and its bytes. Whoever knows a later hash knows whether all before it is as it was.
 */
public final class HashChain {
    /** Bytes of a hash. */
    public static final int HASH_BYTES = 32;

    private static final byte[] NOTHING = new byte[HASH_BYTES];

    private long number;
    private byte[] last;

    /** One record. */
    public record ChainedRecord(long number, byte[] previousHash, byte[] hash, byte[] body) {
        /** Whether its hash is that of what it says. */
        public boolean isIntact() {
            return Arrays.equals(hash, HashChain.hash(number, previousHash, body));
        }
    }

    /** Where a chain ends, or ended when somebody looked. */
    public record ChainHead(long number, String hash) {
        public static final ChainHead EMPTY = new ChainHead(0, "");

        public ChainHead {
            if (number < 0 || !hash.isEmpty() && hash.length() != 2 * HASH_BYTES) {
                throw new IllegalArgumentException("no head");
            }
        }
    }

    /** What is wrong with a chain, from the record of this number on. */
    public record ChainFault(long number, String description) {}

    private HashChain(long number, byte[] last) {
        this.number = number;
        this.last = last;
    }

    /** A chain without any record. */
    public static HashChain empty() {
        return new HashChain(0, NOTHING);
    }

    /** One that goes on behind this record; behind none, one that is new. */
    public static HashChain continuing(ChainedRecord link) {
        return link == null ? empty() : new HashChain(link.number, link.hash);
    }

    /** One that goes on where this one ends, and leaves it as it is. */
    public static HashChain copyOf(HashChain other) {
        return new HashChain(other.number, other.last);
    }

    /** The next record. */
    public ChainedRecord append(byte[] body) {
        ChainedRecord link =
                new ChainedRecord(number + 1, last, hash(number + 1, last, body), body);
        number = link.number;
        last = link.hash;
        return link;
    }

    public ChainHead head() {
        return number == 0
                ? ChainHead.EMPTY
                : new ChainHead(number, HexFormat.of().formatHex(last));
    }

    private static byte[] hash(long number, byte[] before, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(8).putLong(number).array());
            digest.update(before);
            return digest.digest(body);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // each JDK has it
        }
    }

    /**
     * Holds records against one another and against what others know of the chain.
     *
     * @param links as they were found, oldest first; aged ones before them are gone by rule, so the
     *     first may have any number
     * @param known heads that others were told of, in any order
     */
    public static List<ChainFault> verify(List<ChainedRecord> links, List<ChainHead> known) {
        List<ChainFault> faults = new ArrayList<>();
        ChainedRecord before = null;
        for (ChainedRecord link : links) {
            if (!link.isIntact()) {
                faults.add(new ChainFault(link.number, "is not what its hash says"));
            }
            if (before != null && link.number != before.number + 1) {
                faults.add(
                        new ChainFault(
                                before.number + 1,
                                link.number <= before.number
                                        ? "is out of its place"
                                        : (link.number - before.number - 1)
                                                + " records are missing"));
            } else if (before != null && !Arrays.equals(link.previousHash, before.hash)) {
                faults.add(new ChainFault(link.number, "does not follow the one before it"));
            } else if (before == null
                    && link.number == 1
                    && !Arrays.equals(link.previousHash, NOTHING)) {
                faults.add(new ChainFault(1, "is no first record"));
            }
            before = link;
        }
        long last = before == null ? 0 : before.number;
        long first = links.isEmpty() ? 0 : links.get(0).number;
        for (ChainHead head : known) {
            if (head.number() > last) {
                faults.add(
                        new ChainFault(
                                last + 1,
                                "the last "
                                        + (head.number() - last)
                                        + " records are lost: others know of number "
                                        + head.number()));
            } else if (head.number() >= first && head.number() > 0) {
                boolean same =
                        links.stream()
                                .anyMatch(
                                        each ->
                                                each.number == head.number()
                                                        && HexFormat.of()
                                                                .formatHex(each.hash)
                                                                .equals(head.hash()));
                if (!same) {
                    faults.add(new ChainFault(head.number(), "others know it otherwise"));
                }
            }
        }
        return faults;
    }
}
