package ochretiller.store;

import java.util.Optional;

/** One segment as {@link Recovery} has read it. Owned by the thread that reads the store. */
final class RecoveredSegment {
    private final Segment segment;
    private final Optional<SegmentHeader> header;
    private long validEnd = SegmentHeader.BYTES;
    private boolean takenFromHint;

    /**
     * A segment of which nothing but the header was read yet.
     *
     * @param header empty where it cannot be read
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
     * Where the last valid record ends, in bytes from the start of the file; what stands behind it
     * is a torn write or damage.
     */
    long validEnd() {
        return validEnd;
    }

    /** Whether its entries are those of its hint, and its records were not read. */
    boolean isTakenFromHint() {
        return takenFromHint;
    }

    /** Its entries were added from this hint, which covers the whole file. */
    void takenFromHint(HintFile hint) {
        segment.recoveredFromHint(hint);
        validEnd = segment.sizeBytes();
        takenFromHint = true;
    }

    void extendValidEnd(long position) {
        validEnd = position;
    }
}
