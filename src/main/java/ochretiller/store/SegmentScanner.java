package ochretiller.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Reads every record of one segment file and resynchronizes after bytes that are not a record. Each
 * instance performs one scan, on the thread that recovers or inspects the store.
 */
final class SegmentScanner {
    /** Bytes of the buffer beyond the longest record, so that most reads are large. */
    private static final int READ_AHEAD_BYTES = 1 << 20;

    private final StorageFile file;
    private final long fileSize;
    private final Visitor visitor;
    private final ByteBuffer buffer;

    /** Position in the file of the buffer's first byte. */
    private long bufferStart = SegmentHeader.BYTES;

    /** Receives what a scan finds, in the order of the file. */
    interface Visitor {
        /** Called for each valid record with its position in the file. */
        void onRecord(DecodedRecord record, long position);

        /** Called for each range, end exclusive, that is not a record and precedes a valid one. */
        void onUnreadableBytes(long fromPosition, long toPosition);
    }

    /**
     * The bytes after the last valid record.
     *
     * @param position start of these bytes in the file
     * @param isTruncated whether they look like a torn write rather than damage
     */
    record UnreadableTail(long position, boolean isTruncated) {}

    SegmentScanner(StorageFile file, long fileSize, Visitor visitor) {
        this.file = file;
        this.fileSize = fileSize;
        this.visitor = visitor;
        long recordBytes = Math.max(0, fileSize - SegmentHeader.BYTES);
        buffer =
                ByteBuffer.allocate(
                        (int)
                                Math.min(
                                        recordBytes,
                                        READ_AHEAD_BYTES + RecordFormat.MAX_RECORD_BYTES));
        buffer.limit(0);
    }

    /**
     * Reads the whole file.
     *
     * @return empty if the file ends with a valid record
     */
    Optional<UnreadableTail> scan() throws IOException {
        Optional<UnreadableTail> skipped = Optional.empty();
        while (fillBuffer()) {
            long position = bufferStart + buffer.position();
            RecordStatus status = RecordFormat.inspect(buffer);
            if (status == RecordStatus.VALID) {
                skipped.ifPresent(region -> visitor.onUnreadableBytes(region.position(), position));
                skipped = Optional.empty();
                DecodedRecord record = RecordFormat.decode(buffer);
                visitor.onRecord(record, position);
                buffer.position(buffer.position() + record.attributes().recordBytes());
            } else {
                if (skipped.isEmpty()) {
                    skipped =
                            Optional.of(
                                    new UnreadableTail(position, status == RecordStatus.TRUNCATED));
                }
                // Searches byte by byte for the magic of the next record.
                buffer.position(buffer.position() + 1);
            }
        }
        return skipped;
    }

    /**
     * Ensures that the buffer contains enough bytes for the longest record, or the rest of the
     * file; false at the end of the file.
     */
    private boolean fillBuffer() throws IOException {
        boolean moreInFile = bufferStart + buffer.limit() < fileSize;
        if (buffer.remaining() < RecordFormat.MAX_RECORD_BYTES && moreInFile) {
            long position = bufferStart + buffer.position();
            buffer.clear();
            file.read(buffer, position);
            buffer.flip();
            bufferStart = position;
        }
        return buffer.hasRemaining();
    }
}
