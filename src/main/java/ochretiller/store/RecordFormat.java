package ochretiller.store;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes records. All numbers are big-endian; the layout is specified in {@code
 * docs/store-format.md} and checked against golden files. Stateless and thread-safe.
 *
 * <p>A record is a frame (magic, body length, its complement, CRC-32C of the body) and a body
 * (sequence, kind, lengths, expiry, key, metadata, value). The magic lets a reader resynchronize
 * after a damaged region. The length is stored twice so that a flipped bit in it does not look like
 * a torn write.
 */
final class RecordFormat {
    /**
     * Format version of segments and hints that this release writes, and the newest that it reads.
     */
    static final int VERSION = 1;

    /** ASCII "OCRc". */
    static final int RECORD_MAGIC = 0x4F435263;

    /** Bytes of magic, length, complement and checksum. */
    static final int FRAME_BYTES = 16;

    /** Bytes of a body excluding key, metadata and value. */
    static final int FIXED_FIELDS_BYTES = 20;

    static final int MAX_KEY_BYTES = 512;
    static final int MAX_METADATA_BYTES = 255;
    static final int MAX_VALUE_BYTES = 1 << 20;
    static final int MAX_RECORD_BYTES =
            FRAME_BYTES + FIXED_FIELDS_BYTES + MAX_KEY_BYTES + MAX_METADATA_BYTES + MAX_VALUE_BYTES;

    /** Kind of a record that gives a key a value. */
    static final byte PUT = 1;

    /** Kind of a record that removes a key. */
    static final byte TOMBSTONE = 2;

    /** Kind of the last record of a segment, which marks it as complete. */
    static final byte SEAL = 3;

    /** A seal has neither key nor metadata; its value counts the records before it. */
    static final int SEAL_BYTES = recordBytes(0, 0, Long.BYTES);

    /** Offset of the checksum within the frame. */
    static final int CHECKSUM_OFFSET = 12;

    private static final int LENGTH_OFFSET = 4;
    private static final int COMPLEMENT_OFFSET = 8;

    /** Offsets within the body. */
    private static final int KIND_OFFSET = 8;

    private static final int METADATA_LENGTH_OFFSET = 9;
    private static final int KEY_LENGTH_OFFSET = 10;
    private static final int EXPIRY_OFFSET = 12;
    private static final byte[] EMPTY = new byte[0];

    private RecordFormat() {}

    /** Returns the CRC-32C of a range of an array. */
    static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    /**
     * Checks the lengths of the parts of a record.
     *
     * @throws IllegalArgumentException if a part is longer than the format allows
     */
    static void requireLengths(byte[] key, byte[] metadata, byte[] value) {
        requireAtMost(MAX_KEY_BYTES, key.length, "bytes of key");
        requireAtMost(MAX_METADATA_BYTES, metadata.length, "bytes of metadata");
        requireAtMost(MAX_VALUE_BYTES, value.length, "bytes of value");
    }

    static void requireAtMost(long limit, long actual, String unit) {
        if (actual > limit) {
            throw new IllegalArgumentException(
                    actual + " " + unit + " exceed the limit of " + limit);
        }
    }

    /** Size in bytes of a record with a key, metadata and value of these lengths. */
    static int recordBytes(int keyLength, int metadataLength, int valueLength) {
        return FRAME_BYTES + FIXED_FIELDS_BYTES + keyLength + metadataLength + valueLength;
    }

    /** Appends the request's record to an array-backed buffer, which must have enough space. */
    static void encode(ByteBuffer out, long sequence, AppendRequest request) {
        encode(
                out,
                sequence,
                request.kind(),
                request.expiresAtMillis(),
                request.key().bytes(),
                request.metadata(),
                request.value());
    }

    private static void encode(
            ByteBuffer out,
            long sequence,
            byte kind,
            long expiresAtMillis,
            byte[] key,
            byte[] metadata,
            byte[] value) {
        int start = out.position();
        int length = FIXED_FIELDS_BYTES + key.length + metadata.length + value.length;
        out.putInt(RECORD_MAGIC);
        out.putInt(length);
        out.putInt(~length);
        out.putInt(0); // replaced by the checksum of the body below
        out.putLong(sequence);
        out.put(kind);
        out.put((byte) metadata.length);
        out.putShort((short) key.length);
        out.putLong(expiresAtMillis);
        out.put(key);
        out.put(metadata);
        out.put(value);
        out.putInt(
                start + CHECKSUM_OFFSET,
                checksum(out.array(), out.arrayOffset() + start + FRAME_BYTES, length));
    }

    /** Returns a buffer, ready for reading, with a seal that follows this many records. */
    static ByteBuffer encodeSeal(long sequence, long recordsBefore) {
        ByteBuffer out = ByteBuffer.allocate(SEAL_BYTES);
        byte[] value = ByteBuffer.allocate(Long.BYTES).putLong(recordsBefore).array();
        encode(out, sequence, SEAL, 0, EMPTY, EMPTY, value);
        return out.flip();
    }

    /**
     * Checks the bytes at the position of an array-backed buffer, which is not moved. The end of
     * the buffer is treated as the end of the file.
     */
    static RecordStatus inspect(ByteBuffer in) {
        int start = in.position();
        if (in.remaining() >= Integer.BYTES && in.getInt(start) != RECORD_MAGIC) {
            return RecordStatus.CORRUPT;
        }
        if (in.remaining() < FRAME_BYTES) {
            return RecordStatus.TRUNCATED;
        }
        int length = in.getInt(start + LENGTH_OFFSET);
        boolean isLengthValid =
                length == ~in.getInt(start + COMPLEMENT_OFFSET)
                        && length >= FIXED_FIELDS_BYTES
                        && length <= MAX_RECORD_BYTES - FRAME_BYTES;
        if (!isLengthValid) {
            return RecordStatus.CORRUPT;
        }
        if (in.remaining() < FRAME_BYTES + length) {
            return RecordStatus.TRUNCATED;
        }
        int body = start + FRAME_BYTES;
        if (in.getInt(start + CHECKSUM_OFFSET)
                != checksum(in.array(), in.arrayOffset() + body, length)) {
            return RecordStatus.CORRUPT;
        }
        boolean fieldsFit =
                FIXED_FIELDS_BYTES + keyLength(in, body) + metadataLength(in, body) <= length;
        return fieldsFit ? RecordStatus.VALID : RecordStatus.CORRUPT;
    }

    /**
     * Decodes the record at the buffer's position, which is not moved; {@link #inspect} must have
     * returned {@link RecordStatus#VALID}.
     */
    static DecodedRecord decode(ByteBuffer in) {
        int start = in.position();
        int body = start + FRAME_BYTES;
        int length = in.getInt(start + LENGTH_OFFSET);
        byte[] key = new byte[keyLength(in, body)];
        byte[] metadata = new byte[metadataLength(in, body)];
        in.get(body + FIXED_FIELDS_BYTES, key);
        in.get(body + FIXED_FIELDS_BYTES + key.length, metadata);
        int valueOffset = FIXED_FIELDS_BYTES + key.length + metadata.length;
        RecordAttributes attributes =
                new RecordAttributes(
                        in.getLong(body),
                        in.get(body + KIND_OFFSET),
                        in.getLong(body + EXPIRY_OFFSET),
                        FRAME_BYTES + length);
        return new DecodedRecord(
                attributes, key, metadata, FRAME_BYTES + valueOffset, length - valueOffset);
    }

    private static int keyLength(ByteBuffer in, int body) {
        return Short.toUnsignedInt(in.getShort(body + KEY_LENGTH_OFFSET));
    }

    private static int metadataLength(ByteBuffer in, int body) {
        return Byte.toUnsignedInt(in.get(body + METADATA_LENGTH_OFFSET));
    }
}
