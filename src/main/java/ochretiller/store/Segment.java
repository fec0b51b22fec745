package ochretiller.store;

import java.util.ArrayList;
import java.util.List;

/** One file of records, and how much of it is still of use. */
final class Segment {
    final long number;

    /** When it was begun, store's time in milliseconds. */
    final long createdAtMillis;

    long size = RecordFormat.SEGMENT_HEADER_BYTES;
    long deadBytes;
    int records;

    /** When the last of its records is past its time. */
    long lastExpiryMillis = Long.MIN_VALUE;

    /** Its last record says that it was ended in order. */
    boolean sealed;

    /** It says of the one before it that it has no seal, and has to stay as long as that one. */
    boolean followsAbandoned;

    /**
     * Part of it cannot be read: it is kept until all that may have been in it is past its time.
     */
    boolean damaged;

    private final List<Index.IndexEntry> slots = new ArrayList<>();
    private int deadSlots;

    Segment(long number, long begunAt) {
        this.number = number;
        this.createdAtMillis = begunAt;
    }

    String fileName() {
        return RecordFormat.segmentFileName(number);
    }

    void add(Index.IndexEntry slot) {
        slots.add(slot);
        extendLife(slot.expiresAtMillis);
    }

    void extendLife(long until) {
        lastExpiryMillis = Math.max(lastExpiryMillis, until);
    }

    /** A newer record has taken the place of this one. */
    void supersede(Index.IndexEntry slot) {
        slot.superseded = true;
        deadBytes += slot.recordBytes;
        // Guards against a list that grows with what is dead: half of it at most is.
        if (++deadSlots > 64 && deadSlots > slots.size() / 2) {
            slots.removeIf(each -> each.superseded);
            deadSlots = 0;
        }
    }

    /** What of it is not dead. */
    List<Index.IndexEntry> liveEntries() {
        return slots.stream().filter(slot -> !slot.superseded).toList();
    }

    /** All of it is past its time: the file can go. */
    boolean isExpired(long now) {
        return lastExpiryMillis <= now;
    }

    double deadRatio() {
        return size <= RecordFormat.SEGMENT_HEADER_BYTES
                ? 0
                : deadBytes / (double) (size - RecordFormat.SEGMENT_HEADER_BYTES);
    }
}
