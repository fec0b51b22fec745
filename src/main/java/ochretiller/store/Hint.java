package ochretiller.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What the index needs of a sealed segment, so that a start need not read the values. It binds
 * itself to the segment by its size and the check sum of its seal; one that is not whole or not of
 * this file is passed over.
 *
 * @param dead bytes of records that newer ones of the same segment have replaced, the seal with
 *     them
 */
record Hint(List<Index.Slot> slots, int records, long lastSequence, long dead) {
    private static final int START = 48;
    private static final int FIXED = 31;

    /** A seal is a record without key and meta whose value counts those before it. */
    static final int SEAL_SIZE = Format.size(0, 0, 8);

    private static int sealSum(Disk.File file, long size) throws IOException {
        ByteBuffer seal = ByteBuffer.allocate(SEAL_SIZE);
        if (size < Format.HEADER + SEAL_SIZE || file.read(seal, size - SEAL_SIZE) < SEAL_SIZE) {
            return 0;
        }
        seal.flip();
        if (Format.look(seal) != Format.Place.WHOLE || Format.entry(seal).kind() != Format.SEAL) {
            return 0;
        }
        return seal.getInt(12);
    }

    /** Writes it beside its segment. It need not be forced: a start does without it. */
    static void write(Disk disk, Segment segment, long lastSequence) throws IOException {
        int sum;
        try (Disk.File file = disk.open(segment.file())) {
            sum = sealSum(file, segment.size);
        }
        List<Index.Slot> slots = segment.live();
        int length = START + 4;
        for (Index.Slot slot : slots) {
            length += FIXED + slot.key.bytes.length + slot.meta.length;
        }
        ByteBuffer out = ByteBuffer.allocate(length);
        out.putLong(Format.HINT_MAGIC)
                .putShort((short) Format.VERSION)
                .putShort((short) 0)
                .putInt(slots.size())
                .putLong(segment.size)
                .putInt(sum)
                .putInt(segment.records)
                .putLong(lastSequence)
                .putLong(segment.number);
        for (Index.Slot slot : slots) {
            out.putLong(slot.sequence)
                    .put(slot.kind)
                    .putLong(slot.expires)
                    .putInt(slot.at)
                    .putInt(slot.size)
                    .putShort((short) slot.key.bytes.length)
                    .putInt(slot.meta.length)
                    .put(slot.key.bytes)
                    .put(slot.meta);
        }
        out.putInt(Format.crc(out.array(), 0, out.position()));
        String name = Format.hint(segment.number);
        disk.delete(name);
        try (Disk.File file = disk.create(name + ".tmp")) {
            file.write(out.flip(), 0);
        }
        disk.rename(name + ".tmp", name);
    }

    /** The hint of this segment, or null. */
    static Hint read(Disk disk, Disk.File segmentFile, Segment segment, long size)
            throws IOException {
        ByteBuffer in;
        try (Disk.File file = disk.open(Format.hint(segment.number))) {
            long length = file.size();
            if (length < START + 4 || length > Integer.MAX_VALUE - 8) {
                return null;
            }
            in = ByteBuffer.allocate((int) length);
            file.read(in, 0);
        }
        in.flip();
        int end = in.limit() - 4;
        if (in.getLong() != Format.HINT_MAGIC || in.getShort() != Format.VERSION) {
            return null;
        }
        if (in.getInt(end) != Format.crc(in.array(), 0, end)) {
            return null;
        }
        in.getShort();
        int count = in.getInt();
        if (in.getLong() != size || in.getInt() != sealSum(segmentFile, size)) {
            return null;
        }
        int records = in.getInt();
        long lastSequence = in.getLong();
        if (in.getLong() != segment.number) {
            return null;
        }
        List<Index.Slot> slots = new ArrayList<>(count);
        long dead = size - Format.HEADER;
        for (int i = 0; i < count; i++) {
            long sequence = in.getLong();
            byte kind = in.get();
            long expires = in.getLong();
            int at = in.getInt();
            int bytes = in.getInt();
            byte[] key = new byte[in.getShort() & 0xFFFF];
            byte[] meta = new byte[in.getInt()];
            in.get(key).get(meta);
            slots.add(
                    new Index.Slot(
                            new Key(key), sequence, kind, expires, meta, bytes, segment, at));
            dead -= bytes;
        }
        return new Hint(slots, records, lastSequence, dead);
    }
}
