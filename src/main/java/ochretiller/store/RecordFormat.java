package ochretiller.store;

import java.nio.ByteBuffer;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/** The bytes of the files, as docs/store-format.md has them. All numbers are big-endian. */
final class RecordFormat {
    static final int VERSION = 1;

    /** "OCHRELOG" and "OCHREHNT". */
    static final long SEGMENT_MAGIC = 0x4F4348_52454C4F47L;

    static final long HINT_MAGIC = 0x4F4348_5245484E54L;
    static final int SEGMENT_HEADER_BYTES = 72;

    /** "OCRc" begins each record, so that a reader can find the next one behind a damaged place. */
    static final int RECORD_MAGIC = 0x4F435263;

    /**
     * Mark, length, its complement and check sum of a record, and the fixed part of what is
     * counted.
     */
    static final int FRAME_BYTES = 16;

    static final int FIXED_FIELDS_BYTES = 20;
    static final int MAX_KEY_BYTES = 512;
    static final int MAX_METADATA_BYTES = 255;
    static final int MAX_VALUE_BYTES = 1 << 20;
    static final int MAX_RECORD_BYTES =
            FRAME_BYTES + FIXED_FIELDS_BYTES + MAX_KEY_BYTES + MAX_METADATA_BYTES + MAX_VALUE_BYTES;

    static final byte PUT = 1;
    static final byte TOMBSTONE = 2;

    /**
     * The last record of a segment that was ended in order; its value counts the records before it.
     */
    static final byte SEAL = 3;

    private static final Pattern NAME =
            Pattern.compile("seg-([0-9a-f]{16})\\.(log|hint|log\\.tmp|hint\\.tmp)");

    private RecordFormat() {}

    /** Which file of a store a name is. */
    record FileName(long number, String kind) {
        static FileName of(String text) {
            Matcher matcher = NAME.matcher(text);
            return matcher.matches()
                    ? new FileName(Long.parseUnsignedLong(matcher.group(1), 16), matcher.group(2))
                    : null;
        }
    }

    static String segmentFileName(long number) {
        return String.format("seg-%016x.log", number);
    }

    static String hintFileName(long number) {
        return String.format("seg-%016x.hint", number);
    }

    /**
     * The start of a segment.
     *
     * @param afterFailure the segment before it was given up after a failure of the disk and has no
     *     seal
     * @param bootId the run of the machine under which it was begun, or null
     * @param clockOffsetMillis the store's time less the clock of that run, milliseconds
     * @param createdAtMillis the store's time at its start, milliseconds
     */
    record SegmentHeader(
            long number,
            long firstSequence,
            boolean afterFailure,
            UUID bootId,
            long clockOffsetMillis,
            long createdAtMillis) {
        ByteBuffer encode() {
            ByteBuffer out = ByteBuffer.allocate(SEGMENT_HEADER_BYTES);
            out.putLong(SEGMENT_MAGIC)
                    .putShort((short) VERSION)
                    .putShort((short) SEGMENT_HEADER_BYTES)
                    .putInt(afterFailure ? 1 : 0)
                    .putLong(number)
                    .putLong(firstSequence)
                    .putLong(bootId == null ? 0 : bootId.getMostSignificantBits())
                    .putLong(bootId == null ? 0 : bootId.getLeastSignificantBits())
                    .putLong(clockOffsetMillis)
                    .putLong(createdAtMillis);
            out.putInt(checksum(out.array(), 0, out.position()));
            return out.clear();
        }

        /** The header, or null where the bytes are none that was written whole. */
        static SegmentHeader decode(ByteBuffer in, String file) throws StoreException {
            if (in.remaining() < SEGMENT_HEADER_BYTES || in.getLong(0) != SEGMENT_MAGIC) {
                return null;
            }
            if (in.getInt(SEGMENT_HEADER_BYTES - 8)
                    != checksum(in.array(), in.arrayOffset(), SEGMENT_HEADER_BYTES - 8)) {
                return null;
            }
            int version = in.getShort(8);
            if (version > VERSION) {
                throw new StoreException(
                        file
                                + " has format "
                                + version
                                + ", and this program knows "
                                + VERSION
                                + " at most: it was written by a later release");
            }
            UUID boot = new UUID(in.getLong(32), in.getLong(40));
            boolean none =
                    boot.getMostSignificantBits() == 0 && boot.getLeastSignificantBits() == 0;
            return new SegmentHeader(
                    in.getLong(16),
                    in.getLong(24),
                    in.getInt(12) == 1,
                    none ? null : boot,
                    in.getLong(48),
                    in.getLong(56));
        }
    }

    static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    static int recordBytes(int key, int meta, int value) {
        return FRAME_BYTES + FIXED_FIELDS_BYTES + key + meta + value;
    }

    static void encode(
            ByteBuffer out,
            long sequence,
            byte kind,
            long expires,
            byte[] key,
            byte[] meta,
            byte[] value) {
        int start = out.position();
        int length = FIXED_FIELDS_BYTES + key.length + meta.length + value.length;
        out.putInt(RECORD_MAGIC)
                .putInt(length)
                .putInt(~length)
                .putInt(0)
                .putLong(sequence)
                .put(kind)
                .put((byte) meta.length)
                .putShort((short) key.length)
                .putLong(expires)
                .put(key)
                .put(meta)
                .put(value);
        out.putInt(
                start + 12, checksum(out.array(), out.arrayOffset() + start + FRAME_BYTES, length));
    }

    /** A record as it lies in a buffer. */
    record DecodedRecord(
            long sequence,
            byte kind,
            long expiresAtMillis,
            byte[] key,
            byte[] metadata,
            int valueOffset,
            int valueLength,
            int recordBytes) {}

    /** How a place in a segment reads: a record, or why there is none. */
    enum RecordStatus {
        VALID,
        /** The bytes end before the record does: it was never written to its end. */
        TRUNCATED,
        CORRUPT
    }

    /**
     * Reads what stands at the buffer's position, which stays. A buffer that ends is taken for the
     * end of the file. The length stands there twice, so that a flipped bit in it is not taken for
     * a record that was never written to its end.
     */
    static RecordStatus inspect(ByteBuffer in) {
        int at = in.position();
        if (in.remaining() >= 4 && in.getInt(at) != RECORD_MAGIC) {
            return RecordStatus.CORRUPT;
        }
        if (in.remaining() < FRAME_BYTES) {
            return RecordStatus.TRUNCATED;
        }
        int length = in.getInt(at + 4);
        if (length != ~in.getInt(at + 8)
                || length < FIXED_FIELDS_BYTES
                || length > MAX_RECORD_BYTES - FRAME_BYTES) {
            return RecordStatus.CORRUPT;
        }
        if (in.remaining() < FRAME_BYTES + length) {
            return RecordStatus.TRUNCATED;
        }
        if (in.getInt(at + 12)
                != checksum(in.array(), in.arrayOffset() + at + FRAME_BYTES, length)) {
            return RecordStatus.CORRUPT;
        }
        int key = in.getShort(at + FRAME_BYTES + 10) & 0xFFFF;
        int meta = in.get(at + FRAME_BYTES + 9) & 0xFF;
        return FIXED_FIELDS_BYTES + key + meta <= length
                ? RecordStatus.VALID
                : RecordStatus.CORRUPT;
    }

    /** The record at the buffer's position, which {@link #inspect} has found whole. */
    static DecodedRecord decode(ByteBuffer in) {
        int at = in.position();
        int length = in.getInt(at + 4);
        int body = at + FRAME_BYTES;
        byte[] meta = new byte[in.get(body + 9) & 0xFF];
        byte[] key = new byte[in.getShort(body + 10) & 0xFFFF];
        in.get(body + FIXED_FIELDS_BYTES, key);
        in.get(body + FIXED_FIELDS_BYTES + key.length, meta);
        int value = FIXED_FIELDS_BYTES + key.length + meta.length;
        return new DecodedRecord(
                in.getLong(body),
                in.get(body + 8),
                in.getLong(body + 12),
                key,
                meta,
                FRAME_BYTES + value,
                length - value,
                FRAME_BYTES + length);
    }
}
