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
 * @param deadBytes bytes of records that newer ones of the same segment have replaced, the seal
 *     with them
 */
record HintFile(List<Index.IndexEntry> entries, int records, long lastSequence, long deadBytes) {
    private static final int START = 48;
    private static final int FIXED = 31;

    /** A seal is a record without key and meta whose value counts those before it. */
    static final int SEAL_BYTES = RecordFormat.recordBytes(0, 0, 8);

    private static int sealSum(StorageDirectory.StorageFile file, long size) throws IOException {
        ByteBuffer seal = ByteBuffer.allocate(SEAL_BYTES);
        if (size < RecordFormat.SEGMENT_HEADER_BYTES + SEAL_BYTES
                || file.read(seal, size - SEAL_BYTES) < SEAL_BYTES) {
            return 0;
        }
        seal.flip();
        if (RecordFormat.inspect(seal) != RecordFormat.RecordStatus.VALID
                || RecordFormat.decode(seal).kind() != RecordFormat.SEAL) {
            return 0;
        }
        return seal.getInt(12);
    }

    /** Writes it beside its segment. It need not be forced: a start does without it. */
    static void write(StorageDirectory disk, Segment segment, long lastSequence)
            throws IOException {
        int sum;
        try (StorageDirectory.StorageFile file = disk.open(segment.fileName())) {
            sum = sealSum(file, segment.size);
        }
        List<Index.IndexEntry> slots = segment.liveEntries();
        int length = START + 4;
        for (Index.IndexEntry slot : slots) {
            length += FIXED + slot.key.bytes.length + slot.metadata.length;
        }
        ByteBuffer out = ByteBuffer.allocate(length);
        out.putLong(RecordFormat.HINT_MAGIC)
                .putShort((short) RecordFormat.VERSION)
                .putShort((short) 0)
                .putInt(slots.size())
                .putLong(segment.size)
                .putInt(sum)
                .putInt(segment.records)
                .putLong(lastSequence)
                .putLong(segment.number);
        for (Index.IndexEntry slot : slots) {
            out.putLong(slot.sequence)
                    .put(slot.kind)
                    .putLong(slot.expiresAtMillis)
                    .putInt(slot.offset)
                    .putInt(slot.recordBytes)
                    .putShort((short) slot.key.bytes.length)
                    .putInt(slot.metadata.length)
                    .put(slot.key.bytes)
                    .put(slot.metadata);
        }
        out.putInt(RecordFormat.checksum(out.array(), 0, out.position()));
        String name = RecordFormat.hintFileName(segment.number);
        disk.delete(name);
        try (StorageDirectory.StorageFile file = disk.create(name + ".tmp")) {
            file.write(out.flip(), 0);
        }
        disk.rename(name + ".tmp", name);
    }

    /** The hint of this segment, or null. */
    static HintFile read(
            StorageDirectory disk,
            StorageDirectory.StorageFile segmentFile,
            Segment segment,
            long size)
            throws IOException {
        ByteBuffer in;
        try (StorageDirectory.StorageFile file =
                disk.open(RecordFormat.hintFileName(segment.number))) {
            long length = file.size();
            if (length < START + 4 || length > Integer.MAX_VALUE - 8) {
                return null;
            }
            in = ByteBuffer.allocate((int) length);
            file.read(in, 0);
        }
        in.flip();
        int end = in.limit() - 4;
        if (in.getLong() != RecordFormat.HINT_MAGIC || in.getShort() != RecordFormat.VERSION) {
            return null;
        }
        if (in.getInt(end) != RecordFormat.checksum(in.array(), 0, end)) {
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
        List<Index.IndexEntry> slots = new ArrayList<>(count);
        long dead = size - RecordFormat.SEGMENT_HEADER_BYTES;
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
                    new Index.IndexEntry(
                            new StoreKey(key), sequence, kind, expires, meta, bytes, segment, at));
            dead -= bytes;
        }
        return new HintFile(slots, records, lastSequence, dead);
    }
}
