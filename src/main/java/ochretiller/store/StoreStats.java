package ochretiller.store;

/**
 * Figures of a store at one moment; counts are since its start.
 *
 * @param entries keys that have a value
 * @param bytes bytes of all its segments
 * @param indexBytes bytes of the index, as reckoned
 * @param segments files of records
 * @param oldestSegmentMillis when the oldest segment was begun, store's time in milliseconds; of no
 *     use without segments
 * @param forces times that the disk was told to force
 * @param appendedRecords records appended
 * @param appendedBytes bytes appended
 * @param largestGroupCommit most records that went out with one force
 * @param compactedBytes bytes that compaction has copied
 * @param expiredSegments segments that were past their time
 * @param diskFailures failures of the disk
 * @param fault what the disk failed with, or null while it is well
 */
public record StoreStats(
        int entries,
        long bytes,
        long indexBytes,
        int segments,
        long oldestSegmentMillis,
        long forces,
        long appendedRecords,
        long appendedBytes,
        int largestGroupCommit,
        long compactedBytes,
        long expiredSegments,
        long diskFailures,
        String fault) {
    public boolean isHealthy() {
        return fault == null;
    }
}
