package ochretiller.store;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.UUID;

/**
 * The first {@value #BYTES} bytes of a segment file. Immutable. Layout: {@code
 * docs/store-format.md}, "Segment".
 *
 * @param segmentNumber number of the segment, as in its file name
 * @param firstSequence sequence number of its first record, if it has one
 * @param followsAbandoned whether the previous segment was abandoned after a disk failure and
 *     therefore has no seal
 * @param bootId boot id of the machine when the segment was created; empty if the machine does not
 *     provide one
 * @param clockOffsetMillis the store's clock minus the uptime of the machine
 * @param createdAtMillis creation time on the store's clock
 */
record SegmentHeader(
        long segmentNumber,
        long firstSequence,
        boolean followsAbandoned,
        Optional<UUID> bootId,
        long clockOffsetMillis,
        long createdAtMillis) {
    static final int BYTES = 72;

    /** ASCII "OCHRELOG". */
    private static final long MAGIC = 0x4F4348_52454C4F47L;

    /** All zero bits represent a missing boot id. */
    private static final UUID NO_BOOT_ID = new UUID(0, 0);

    private static final int VERSION_OFFSET = 8;
    private static final int FLAGS_OFFSET = 12;
    private static final int NUMBER_OFFSET = 16;
    private static final int SEQUENCE_OFFSET = 24;
    private static final int BOOT_ID_OFFSET = 32;
    private static final int CLOCK_OFFSET_OFFSET = 48;
    private static final int CREATED_AT_OFFSET = 56;
    private static final int CHECKSUM_OFFSET = 64;
    private static final int FOLLOWS_ABANDONED = 1;

    /** Returns the encoded header in a buffer that is ready for reading. */
    ByteBuffer encode() {
        UUID boot = bootId.orElse(NO_BOOT_ID);
        ByteBuffer out = ByteBuffer.allocate(BYTES);
        out.putLong(MAGIC);
        out.putShort((short) RecordFormat.VERSION);
        out.putShort((short) BYTES);
        out.putInt(followsAbandoned ? FOLLOWS_ABANDONED : 0);
        out.putLong(segmentNumber);
        out.putLong(firstSequence);
        out.putLong(boot.getMostSignificantBits());
        out.putLong(boot.getLeastSignificantBits());
        out.putLong(clockOffsetMillis);
        out.putLong(createdAtMillis);
        out.putInt(RecordFormat.checksum(out.array(), 0, CHECKSUM_OFFSET));
        return out.clear();
    }

    /**
     * Reads a header.
     *
     * @param in a buffer that begins with the start of a segment file
     * @param fileName file name for the error message
     * @return empty if the bytes are not a complete, valid header
     * @throws StoreException if the file has a format of a later release that this one does not
     *     support
     */
    static Optional<SegmentHeader> decode(ByteBuffer in, String fileName) throws StoreException {
        if (in.remaining() < BYTES || in.getLong(0) != MAGIC) {
            return Optional.empty();
        }
        if (in.getInt(CHECKSUM_OFFSET)
                != RecordFormat.checksum(in.array(), in.arrayOffset(), CHECKSUM_OFFSET)) {
            return Optional.empty();
        }
        int version = in.getShort(VERSION_OFFSET);
        if (version > RecordFormat.VERSION) {
            throw new StoreException(
                    fileName
                            + " has format "
                            + version
                            + ", but this release supports at most format "
                            + RecordFormat.VERSION
                            + "; the file was written by a later release");
        }
        UUID boot = new UUID(in.getLong(BOOT_ID_OFFSET), in.getLong(BOOT_ID_OFFSET + Long.BYTES));
        return Optional.of(
                new SegmentHeader(
                        in.getLong(NUMBER_OFFSET),
                        in.getLong(SEQUENCE_OFFSET),
                        in.getInt(FLAGS_OFFSET) == FOLLOWS_ABANDONED,
                        boot.equals(NO_BOOT_ID) ? Optional.empty() : Optional.of(boot),
                        in.getLong(CLOCK_OFFSET_OFFSET),
                        in.getLong(CREATED_AT_OFFSET)));
    }
}
