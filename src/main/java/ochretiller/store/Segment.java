package ochretiller.store;

import java.util.ArrayList;
import java.util.List;

/**
 * State of one segment file: its size, its dead bytes and how long it is needed. Not thread-safe;
 * confined to the thread that owns the {@link Index}.
 */
final class Segment {
    /** Superseded entries are purged only if there are more than this. */
    private static final int MIN_SUPERSEDED_TO_PURGE = 64;

    private final long number;
    private final long createdAtMillis;
    private final boolean followsAbandoned;
    private final List<IndexEntry> entries = new ArrayList<>();
    private int supersededEntries;
    private long sizeBytes = SegmentHeader.BYTES;
    private long deadBytes;
    private int recordCount;
    private long latestExpiryMillis = Long.MIN_VALUE;
    private boolean sealed;
    private boolean damaged;

    /**
     * Creates a segment that contains only its header.
     *
     * @param createdAtMillis creation time on the store's clock; 0 if the header cannot be read
     * @param followsAbandoned whether its header marks the previous segment as having no seal; this
     *     segment must then be retained as long as that one
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

    /** Size of the file in bytes, including the header. */
    long sizeBytes() {
        return sizeBytes;
    }

    /** Bytes of superseded records and of the seal. */
    long deadBytes() {
        return deadBytes;
    }

    /** Number of records in the file, including the seal. */
    int recordCount() {
        return recordCount;
    }

    /** Latest expiry time of its records, on the store's clock. */
    long latestExpiryMillis() {
        return latestExpiryMillis;
    }

    /** Returns whether its last record is a seal. */
    boolean isSealed() {
        return sealed;
    }

    /**
     * Returns whether part of it cannot be read. It is then retained unchanged until all records
     * that it may have contained have expired.
     */
    boolean isDamaged() {
        return damaged;
    }

    boolean isExpired(long nowMillis) {
        return latestExpiryMillis <= nowMillis;
    }

    /** Fraction of the bytes after the header that are dead, 0 to 1. */
    double deadRatio() {
        long recordBytes = sizeBytes - SegmentHeader.BYTES;
        return recordBytes <= 0 ? 0 : deadBytes / (double) recordBytes;
    }

    /** Entries that no newer record of their key has superseded. */
    List<IndexEntry> liveEntries() {
        return entries.stream().filter(entry -> !entry.isSuperseded()).toList();
    }

    void add(IndexEntry entry) {
        entries.add(entry);
        extendExpiry(entry.expiresAtMillis());
    }

    /** Retains the file at least until this time, on the store's clock. */
    void extendExpiry(long untilMillis) {
        latestExpiryMillis = Math.max(latestExpiryMillis, untilMillis);
    }

    /** Marks an entry as superseded by a newer record of its key. */
    void supersede(IndexEntry entry) {
        entry.markSuperseded();
        deadBytes += entry.recordBytes();
        supersededEntries++;
        // Purging bounds the list: at most half of its entries are superseded.
        if (supersededEntries > MIN_SUPERSEDED_TO_PURGE && supersededEntries > entries.size() / 2) {
            entries.removeIf(IndexEntry::isSuperseded);
            supersededEntries = 0;
        }
    }

    /** Updates the counts after a group of records was appended to the file. */
    void countAppendedRecords(int records, int bytes) {
        recordCount += records;
        sizeBytes += bytes;
    }

    /** Updates the counts after a seal was appended to the file. */
    void markSealed() {
        sizeBytes += RecordFormat.SEAL_BYTES;
        deadBytes += RecordFormat.SEAL_BYTES;
        recordCount++;
        sealed = true;
    }

    /** Sets the length of the file in bytes, as found or truncated. */
    void setSizeBytes(long size) {
        sizeBytes = size;
    }

    /**
     * Counts the next record that recovery has read. The segment is sealed if the last one is a
     * seal.
     */
    void countRecoveredRecord(boolean isSeal) {
        recordCount++;
        sealed = isSeal;
    }

    /** Sets the counts from a hint whose entries were added before. */
    void applyHint(HintFile hint) {
        deadBytes += hint.deadBytes();
        recordCount = hint.recordCount();
        sealed = true;
    }

    /** Records that part of the segment cannot be read. */
    void markDamaged() {
        damaged = true;
    }

    /**
     * Sets the counts after compaction has replaced the file with a sealed copy of the live
     * records.
     */
    void applyCompaction(long copySizeBytes, long copyDeadBytes, int copyRecordCount) {
        sizeBytes = copySizeBytes;
        deadBytes = copyDeadBytes;
        recordCount = copyRecordCount;
    }
}
