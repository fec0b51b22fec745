package ochretiller.store;

import java.nio.ByteBuffer;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/** The bytes of the files, as docs/store-format.md has them. All numbers are big-endian. */
final class Format {
    static final int VERSION = 1;

    /** "OCHRELOG" and "OCHREHNT". */
    static final long SEGMENT_MAGIC = 0x4F4348_52454C4F47L;

    static final long HINT_MAGIC = 0x4F4348_5245484E54L;
    static final int HEADER = 72;

    /** "OCRc" begins each record, so that a reader can find the next one behind a damaged place. */
    static final int MARK = 0x4F435263;

    /**
     * Mark, length, its complement and check sum of a record, and the fixed part of what is
     * counted.
     */
    static final int FRAME = 16;

    static final int FIXED = 20;
    static final int LONGEST_KEY = 512;
    static final int LONGEST_META = 255;
    static final int LONGEST_VALUE = 1 << 20;
    static final int LONGEST = FRAME + FIXED + LONGEST_KEY + LONGEST_META + LONGEST_VALUE;

    static final byte PUT = 1;
    static final byte REMOVE = 2;

    /**
     * The last record of a segment that was ended in order; its value counts the records before it.
     */
    static final byte SEAL = 3;

    private static final Pattern NAME =
            Pattern.compile("seg-([0-9a-f]{16})\\.(log|hint|log\\.tmp|hint\\.tmp)");

    private Format() {}

    /** Which file of a store a name is. */
    record Name(long number, String kind) {
        static Name of(String text) {
            Matcher matcher = NAME.matcher(text);
            return matcher.matches()
                    ? new Name(Long.parseUnsignedLong(matcher.group(1), 16), matcher.group(2))
                    : null;
        }
    }

    static String segment(long number) {
        return String.format("seg-%016x.log", number);
    }

    static String hint(long number) {
        return String.format("seg-%016x.hint", number);
    }

    /**
     * The start of a segment.
     *
     * @param afterFailure the segment before it was given up after a failure of the disk and has no
     *     seal
     * @param boot the run of the machine under which it was begun, or null
     * @param offset the store's time less the clock of that run, milliseconds
     * @param begunAt the store's time at its start, milliseconds
     */
    record Header(
            long number,
            long firstSequence,
            boolean afterFailure,
            UUID boot,
            long offset,
            long begunAt) {
        ByteBuffer encode() {
            ByteBuffer out = ByteBuffer.allocate(HEADER);
            out.putLong(SEGMENT_MAGIC)
                    .putShort((short) VERSION)
                    .putShort((short) HEADER)
                    .putInt(afterFailure ? 1 : 0)
                    .putLong(number)
                    .putLong(firstSequence)
                    .putLong(boot == null ? 0 : boot.getMostSignificantBits())
                    .putLong(boot == null ? 0 : boot.getLeastSignificantBits())
                    .putLong(offset)
                    .putLong(begunAt);
            out.putInt(crc(out.array(), 0, out.position()));
            return out.clear();
        }

        /** The header, or null where the bytes are none that was written whole. */
        static Header decode(ByteBuffer in, String file) throws StoreException {
            if (in.remaining() < HEADER || in.getLong(0) != SEGMENT_MAGIC) {
                return null;
            }
            if (in.getInt(HEADER - 8) != crc(in.array(), in.arrayOffset(), HEADER - 8)) {
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
            return new Header(
                    in.getLong(16),
                    in.getLong(24),
                    in.getInt(12) == 1,
                    none ? null : boot,
                    in.getLong(48),
                    in.getLong(56));
        }
    }

    static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    static int size(int key, int meta, int value) {
        return FRAME + FIXED + key + meta + value;
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
        int length = FIXED + key.length + meta.length + value.length;
        out.putInt(MARK)
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
        out.putInt(start + 12, crc(out.array(), out.arrayOffset() + start + FRAME, length));
    }

    /** A record as it lies in a buffer. */
    record Entry(
            long sequence,
            byte kind,
            long expires,
            byte[] key,
            byte[] meta,
            int valueAt,
            int valueLength,
            int size) {}

    /** How a place in a segment reads: a record, or why there is none. */
    enum Place {
        WHOLE,
        /** The bytes end before the record does: it was never written to its end. */
        CUT,
        WRONG
    }

    /**
     * Reads what stands at the buffer's position, which stays. A buffer that ends is taken for the
     * end of the file. The length stands there twice, so that a flipped bit in it is not taken for
     * a record that was never written to its end.
     */
    static Place look(ByteBuffer in) {
        int at = in.position();
        if (in.remaining() >= 4 && in.getInt(at) != MARK) {
            return Place.WRONG;
        }
        if (in.remaining() < FRAME) {
            return Place.CUT;
        }
        int length = in.getInt(at + 4);
        if (length != ~in.getInt(at + 8) || length < FIXED || length > LONGEST - FRAME) {
            return Place.WRONG;
        }
        if (in.remaining() < FRAME + length) {
            return Place.CUT;
        }
        if (in.getInt(at + 12) != crc(in.array(), in.arrayOffset() + at + FRAME, length)) {
            return Place.WRONG;
        }
        int key = in.getShort(at + FRAME + 10) & 0xFFFF;
        int meta = in.get(at + FRAME + 9) & 0xFF;
        return FIXED + key + meta <= length ? Place.WHOLE : Place.WRONG;
    }

    /** The record at the buffer's position, which {@link #look} has found whole. */
    static Entry entry(ByteBuffer in) {
        int at = in.position();
        int length = in.getInt(at + 4);
        int body = at + FRAME;
        byte[] meta = new byte[in.get(body + 9) & 0xFF];
        byte[] key = new byte[in.getShort(body + 10) & 0xFFFF];
        in.get(body + FIXED, key);
        in.get(body + FIXED + key.length, meta);
        int value = FIXED + key.length + meta.length;
        return new Entry(
                in.getLong(body),
                in.get(body + 8),
                in.getLong(body + 12),
                key,
                meta,
                FRAME + value,
                length - value,
                FRAME + length);
    }
}
