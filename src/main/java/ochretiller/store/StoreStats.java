package ochretiller.store;

import java.util.Collection;
import java.util.Optional;

/**
 * Statistics of a store at one instant; counts start when it is opened. Immutable.
 *
 * @param entries number of keys that have a value
 * @param bytes total size of all segments in bytes
 * @param indexBytes estimated memory of the index in bytes
 * @param segments number of segments
 * @param oldestSegmentMillis creation time of the oldest segment, on the store's clock; 0 without
 *     segments
 * @param forces number of forces of the disk
 * @param appendedRecords number of appended records
 * @param appendedBytes number of appended bytes
 * @param largestGroupCommit largest number of records that shared one force
 * @param compactedBytes number of bytes copied by compactions
 * @param expiredSegments number of segments deleted after all their records had expired
 * @param diskFailures number of disk failures
 * @param fault message of the disk failure; empty while the disk works
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
        Optional<String> fault) {
    /** Returns whether the last use of the disk succeeded. */
    public boolean isHealthy() {
        return fault.isEmpty();
    }

    /** Collects the statistics of these parts of a store. */
    static StoreStats of(
            Index index,
            Collection<Segment> segments,
            StoreCounters counters,
            Optional<String> fault) {
        return new StoreStats(
                index.liveKeyCount(),
                segments.stream().mapToLong(Segment::sizeBytes).sum(),
                index.memoryBytes(),
                segments.size(),
                segments.stream().findFirst().map(Segment::createdAtMillis).orElse(0L),
                counters.forces(),
                counters.appendedRecords(),
                counters.appendedBytes(),
                counters.largestGroupCommit(),
                counters.compactedBytes(),
                counters.expiredSegments(),
                counters.diskFailures(),
                fault);
    }
}
