package ochretiller.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The index entries of a sealed segment, in a separate file (Bitcask's hint file), so that a start
 * need not read the values. It identifies its segment by size and by the checksum of the seal; a
 * hint that is torn or belongs to another file is ignored. Layout: {@code docs/store-format.md},
 * "Hint". Confined to the thread that owns the {@link Index}.
 *
 * @param entries live entries of the segment
 * @param recordCount number of records in the segment, including the seal
 * @param lastSequence highest sequence number in use when the hint was written
 * @param deadBytes bytes of the segment that no entry covers, including the seal
 */
record HintFile(List<IndexEntry> entries, int recordCount, long lastSequence, long deadBytes) {
    /** ASCII "OCHREHNT". */
    private static final long MAGIC = 0x4F4348_5245484E54L;

    private static final int HEADER_BYTES = 48;
    private static final int CHECKSUM_BYTES = 4;

    /** Bytes of an entry excluding its key and metadata. */
    private static final int ENTRY_FIXED_BYTES = 31;

    /** Writes the hint of a sealed segment. It is not forced, as a start works without it. */
    static void write(StorageDirectory directory, Segment segment, long lastSequence)
            throws IOException {
        ByteBuffer bytes = encode(segment, readSealChecksum(directory, segment), lastSequence);
        String name = segment.hintFileName();
        String temporaryName = name + SegmentFileName.TEMPORARY_SUFFIX;
        directory.delete(name);
        try (StorageFile file = directory.create(temporaryName)) {
            file.write(bytes, 0);
        }
        directory.rename(temporaryName, name);
    }

    private static int readSealChecksum(StorageDirectory directory, Segment segment)
            throws IOException {
        try (StorageFile file = directory.open(segment.fileName())) {
            return sealChecksum(file, segment.sizeBytes());
        }
    }

    private static ByteBuffer encode(Segment segment, int sealChecksum, long lastSequence) {
        List<IndexEntry> entries = segment.liveEntries();
        int length = HEADER_BYTES + CHECKSUM_BYTES;
        for (IndexEntry entry : entries) {
            length += ENTRY_FIXED_BYTES + entry.key().length() + entry.metadata().length;
        }
        ByteBuffer out = ByteBuffer.allocate(length);
        out.putLong(MAGIC);
        out.putShort((short) RecordFormat.VERSION);
        out.putShort((short) 0);
        out.putInt(entries.size());
        out.putLong(segment.sizeBytes());
        out.putInt(sealChecksum);
        out.putInt(segment.recordCount());
        out.putLong(lastSequence);
        out.putLong(segment.number());
        entries.forEach(entry -> encode(entry, out));
        out.putInt(RecordFormat.checksum(out.array(), 0, out.position()));
        return out.flip();
    }

    private static void encode(IndexEntry entry, ByteBuffer out) {
        out.putLong(entry.sequence());
        out.put(entry.kind());
        out.putLong(entry.expiresAtMillis());
        out.putInt(entry.offset());
        out.putInt(entry.recordBytes());
        out.putShort((short) entry.key().length());
        out.putInt(entry.metadata().length);
        out.put(entry.key().bytes());
        out.put(entry.metadata());
    }

    /**
     * Reads the hint of a segment.
     *
     * @param segmentFile open file of the segment
     * @param segment segment that the entries will refer to; not modified
     * @param segmentSize length of the segment's file in bytes
     * @return empty if the hint is torn, damaged or was written for other contents
     */
    static Optional<HintFile> read(
            StorageDirectory directory, StorageFile segmentFile, Segment segment, long segmentSize)
            throws IOException {
        Optional<ByteBuffer> contents = readContents(directory, segment.hintFileName());
        if (contents.isEmpty()) {
            return Optional.empty();
        }
        ByteBuffer in = contents.get();
        int checksumOffset = in.limit() - CHECKSUM_BYTES;
        if (in.getLong() != MAGIC || in.getShort() != RecordFormat.VERSION) {
            return Optional.empty();
        }
        if (in.getInt(checksumOffset)
                != RecordFormat.checksum(in.array(), in.arrayOffset(), checksumOffset)) {
            return Optional.empty();
        }
        in.getShort(); // reserved
        int entryCount = in.getInt();
        if (in.getLong() != segmentSize || in.getInt() != sealChecksum(segmentFile, segmentSize)) {
            return Optional.empty();
        }
        int recordCount = in.getInt();
        long lastSequence = in.getLong();
        if (in.getLong() != segment.number()) {
            return Optional.empty();
        }
        List<IndexEntry> entries = decodeEntries(in, entryCount, segment);
        long liveBytes = entries.stream().mapToLong(IndexEntry::recordBytes).sum();
        return Optional.of(
                new HintFile(
                        entries,
                        recordCount,
                        lastSequence,
                        segmentSize - SegmentHeader.BYTES - liveBytes));
    }

    private static Optional<ByteBuffer> readContents(StorageDirectory directory, String name)
            throws IOException {
        try (StorageFile file = directory.open(name)) {
            long length = file.size();
            if (length < HEADER_BYTES + CHECKSUM_BYTES || length > Integer.MAX_VALUE - Long.BYTES) {
                return Optional.empty();
            }
            ByteBuffer in = ByteBuffer.allocate((int) length);
            file.read(in, 0);
            return Optional.of(in.flip());
        }
    }

    private static List<IndexEntry> decodeEntries(ByteBuffer in, int count, Segment segment) {
        List<IndexEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long sequence = in.getLong();
            byte kind = in.get();
            long expiresAtMillis = in.getLong();
            int offset = in.getInt();
            int recordBytes = in.getInt();
            byte[] key = new byte[Short.toUnsignedInt(in.getShort())];
            byte[] metadata = new byte[in.getInt()];
            in.get(key);
            in.get(metadata);
            RecordAttributes attributes =
                    new RecordAttributes(sequence, kind, expiresAtMillis, recordBytes);
            entries.add(new IndexEntry(new StoreKey(key), metadata, attributes, segment, offset));
        }
        return entries;
    }

    /** Returns the checksum of the seal at the end of a segment; 0 if it has none. */
    private static int sealChecksum(StorageFile segmentFile, long segmentSize) throws IOException {
        ByteBuffer seal = ByteBuffer.allocate(RecordFormat.SEAL_BYTES);
        if (segmentSize < SegmentHeader.BYTES + RecordFormat.SEAL_BYTES) {
            return 0;
        }
        if (segmentFile.read(seal, segmentSize - RecordFormat.SEAL_BYTES)
                < RecordFormat.SEAL_BYTES) {
            return 0;
        }
        seal.flip();
        if (RecordFormat.inspect(seal) != RecordStatus.VALID) {
            return 0;
        }
        boolean isSeal = RecordFormat.decode(seal).attributes().kind() == RecordFormat.SEAL;
        return isSeal ? seal.getInt(RecordFormat.CHECKSUM_OFFSET) : 0;
    }
}
