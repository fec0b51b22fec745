package ochretiller.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Reads every record of one segment file and resynchronizes behind what is none. Used once, by the
 * thread that recovers or inspects the store.
 */
final class SegmentScanner {
    /** Bytes read ahead of the longest record, so that most reads are large. */
    private static final int READ_AHEAD_BYTES = 1 << 20;

    private final StorageFile file;
    private final long fileSize;
    private final Visitor visitor;
    private final ByteBuffer buffer;

    /** Position within the file of the buffer's first byte. */
    private long bufferStart = SegmentHeader.BYTES;

    /** Receives what a scan finds, in the order of the file. */
    interface Visitor {
        /** A valid record begins at this position of the file. */
        void recordFound(DecodedRecord record, long position);

        /** These bytes are no record, and valid records follow. */
        void unreadableBytes(long fromPosition, long toPosition);
    }

    /**
     * What stands behind the last valid record.
     *
     * @param position where it begins in the file
     * @param isTruncated whether it looks like a torn write rather than damage
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
     * @return empty where the file ends with a valid record
     */
    Optional<UnreadableTail> scan() throws IOException {
        Optional<UnreadableTail> skipped = Optional.empty();
        while (fillBuffer()) {
            long position = bufferStart + buffer.position();
            RecordStatus status = RecordFormat.inspect(buffer);
            if (status == RecordStatus.VALID) {
                skipped.ifPresent(region -> visitor.unreadableBytes(region.position(), position));
                skipped = Optional.empty();
                DecodedRecord record = RecordFormat.decode(buffer);
                visitor.recordFound(record, position);
                buffer.position(buffer.position() + record.attributes().recordBytes());
            } else {
                if (skipped.isEmpty()) {
                    skipped =
                            Optional.of(
                                    new UnreadableTail(position, status == RecordStatus.TRUNCATED));
                }
                buffer.position(
                        buffer.position()
                                + 1); // the next record, if there is one, begins with its magic
            }
        }
        return skipped;
    }

    /**
     * Makes sure that the longest record fits what is in the buffer, or all of the file's rest;
     * false at the end of the file.
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
