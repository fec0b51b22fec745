package ochretiller.store;

import java.util.ArrayList;
import java.util.List;

/**
 * What is known of one segment file: its size, how much of it is dead, and how long it is needed.
 * Not safe for several threads; owned with the {@link Index}.
 */
final class Segment {
    /** Superseded entries that are let stand before it is worth looking for them. */
    private static final int MIN_SUPERSEDED_TO_PURGE = 64;

    private final long number;
    private final long createdAtMillis;
    private final boolean followsAbandoned;
    private final List<IndexEntry> entries = new ArrayList<>();
    private int supersededEntries;
    private long sizeBytes = SegmentHeader.BYTES;
    private long deadBytes;
    private int recordCount;
    private long lastExpiryMillis = Long.MIN_VALUE;
    private boolean sealed;
    private boolean damaged;

    /**
     * A segment that holds nothing but its header.
     *
     * @param createdAtMillis the store's clock at its creation, 0 where the header cannot be read
     * @param followsAbandoned whether its header says that the segment before has no seal; it must
     *     stay as long as that one
     */
    Segment(long number, long createdAtMillis, boolean followsAbandoned) {
        this.number = number;
        this.createdAtMillis = createdAtMillis;
        this.followsAbandoned = followsAbandoned;
    }

    long number() {
        return number;
    }

    String fileName() {
        return SegmentFileName.ofLog(number);
    }

    String hintFileName() {
        return SegmentFileName.ofHint(number);
    }

    long createdAtMillis() {
        return createdAtMillis;
    }

    boolean followsAbandoned() {
        return followsAbandoned;
    }

    /** Bytes of the file, header included. */
    long sizeBytes() {
        return sizeBytes;
    }

    /** Bytes of records that newer ones have superseded, and of the seal. */
    long deadBytes() {
        return deadBytes;
    }

    /** Records of the file, the seal included. */
    int recordCount() {
        return recordCount;
    }

    /** End of the longest life in it, on the store's clock. */
    long lastExpiryMillis() {
        return lastExpiryMillis;
    }

    /** Whether its last record says that it was ended in order. */
    boolean isSealed() {
        return sealed;
    }

    /**
     * Whether part of it cannot be read; it is kept as it is until all that may have been in it has
     * expired.
     */
    boolean isDamaged() {
        return damaged;
    }

    boolean isExpired(long nowMillis) {
        return lastExpiryMillis <= nowMillis;
    }

    /** Share of the bytes behind the header that are dead, 0 to 1. */
    double deadRatio() {
        long recordBytes = sizeBytes - SegmentHeader.BYTES;
        return recordBytes <= 0 ? 0 : deadBytes / (double) recordBytes;
    }

    /** Records whose keys have no newer one. */
    List<IndexEntry> liveEntries() {
        return entries.stream().filter(entry -> !entry.isSuperseded()).toList();
    }

    void add(IndexEntry entry) {
        entries.add(entry);
        extendLife(entry.expiresAtMillis());
    }

    /** The file is needed until then at least. */
    void extendLife(long untilMillis) {
        lastExpiryMillis = Math.max(lastExpiryMillis, untilMillis);
    }

    /** A newer record of the entry's key is known. */
    void supersede(IndexEntry entry) {
        entry.markSuperseded();
        deadBytes += entry.recordBytes();
        supersededEntries++;
        // Bounds the list: at most half of it is superseded.
        if (supersededEntries > MIN_SUPERSEDED_TO_PURGE && supersededEntries > entries.size() / 2) {
            entries.removeIf(IndexEntry::isSuperseded);
            supersededEntries = 0;
        }
    }

    /** A group of records was appended to the file. */
    void recordsAppended(int records, int bytes) {
        recordCount += records;
        sizeBytes += bytes;
    }

    /** A seal was appended to the file. */
    void sealAppended() {
        sizeBytes += RecordFormat.SEAL_BYTES;
        deadBytes += RecordFormat.SEAL_BYTES;
        recordCount++;
        sealed = true;
    }

    /** The file was found with, or cut to, this length. */
    void setSizeBytes(long size) {
        sizeBytes = size;
    }

    /**
     * Recovery has read the next record; only the last one decides whether the segment is sealed.
     */
    void recordRecovered(boolean isSeal) {
        recordCount++;
        sealed = isSeal;
    }

    /** Recovery has taken the segment from its hint, whose entries were added before. */
    void recoveredFromHint(HintFile hint) {
        deadBytes += hint.deadBytes();
        recordCount = hint.recordCount();
        sealed = true;
    }

    /** Recovery has found that part of it cannot be read. */
    void markDamaged() {
        damaged = true;
    }

    /** Compaction has replaced the file by a sealed copy of what was live. */
    void replacedByCopy(long copySizeBytes, long copyDeadBytes, int copyRecordCount) {
        sizeBytes = copySizeBytes;
        deadBytes = copyDeadBytes;
        recordCount = copyRecordCount;
    }
}
