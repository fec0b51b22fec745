package ochretiller.store;

/**
 * Counts the operations of a store since it was opened. Confined to the thread that owns the {@link
 * Index}; published as {@link StoreStats}.
 */
final class StoreCounters {
    private long forces;
    private long appendedRecords;
    private long appendedBytes;
    private int largestGroupCommit;
    private long compactedBytes;
    private long expiredSegments;
    private long diskFailures;

    void countForce() {
        forces++;
    }

    void countGroupCommit(int records, int bytes) {
        appendedRecords += records;
        appendedBytes += bytes;
        largestGroupCommit = Math.max(largestGroupCommit, records);
    }

    void countCompactedBytes(long bytes) {
        compactedBytes += bytes;
    }

    void countExpiredSegment() {
        expiredSegments++;
    }

    void countDiskFailure() {
        diskFailures++;
    }

    long forces() {
        return forces;
    }

    long appendedRecords() {
        return appendedRecords;
    }

    long appendedBytes() {
        return appendedBytes;
    }

    int largestGroupCommit() {
        return largestGroupCommit;
    }

    long compactedBytes() {
        return compactedBytes;
    }

    long expiredSegments() {
        return expiredSegments;
    }

    long diskFailures() {
        return diskFailures;
    }
}
