package ochretiller.store;

import java.util.Optional;

/** One segment as read by {@link Recovery}. Confined to the thread that reads the store. */
final class RecoveredSegment {
    private final Segment segment;
    private final Optional<SegmentHeader> header;
    private long validEnd = SegmentHeader.BYTES;
    private boolean readFromHint;

    /**
     * Creates a segment of which only the header has been read.
     *
     * @param header empty if it cannot be read
     */
    RecoveredSegment(Segment segment, Optional<SegmentHeader> header) {
        this.segment = segment;
        this.header = header;
    }

    Segment segment() {
        return segment;
    }

    Optional<SegmentHeader> header() {
        return header;
    }

    /**
     * End of the last valid record, in bytes from the start of the file; bytes after it are a torn
     * write or damage.
     */
    long validEnd() {
        return validEnd;
    }

    /** Returns whether its entries were read from its hint instead of its records. */
    boolean isReadFromHint() {
        return readFromHint;
    }

    /**
     * Sets the state from a hint whose entries were added before; the hint covers the whole file.
     */
    void applyHint(HintFile hint) {
        segment.applyHint(hint);
        validEnd = segment.sizeBytes();
        readFromHint = true;
    }

    void extendValidEnd(long position) {
        validEnd = position;
    }
}
