package ochretiller.store;

import java.util.Collection;
import java.util.Optional;

/**
 * Figures of a store at one instant; counts are since it was opened. Immutable.
 *
 * @param entries keys that have a value
 * @param bytes bytes of all its segments
 * @param indexBytes memory of the index, estimated
 * @param segments number of segments
 * @param oldestSegmentMillis when the oldest segment was created, on the store's clock; 0 without
 *     segments
 * @param forces forces of the disk
 * @param appendedRecords records appended
 * @param appendedBytes bytes appended
 * @param largestGroupCommit most records that shared one force
 * @param compactedBytes bytes that compactions have copied
 * @param expiredSegments segments that were deleted once all in them had expired
 * @param diskFailures failures of the disk
 * @param fault what the disk failed with; empty while it works
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
    /** Whether the disk works, as far as its last use tells. */
    public boolean isHealthy() {
        return fault.isEmpty();
    }

    /** Figures of these parts of a store. */
    static StoreStats of(
            Index index,
            Collection<Segment> segments,
            StoreCounters counters,
            Optional<String> fault) {
        return new StoreStats(
                index.liveKeys(),
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
