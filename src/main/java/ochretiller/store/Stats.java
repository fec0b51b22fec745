package ochretiller.store;

/**
 * Figures of a store at one moment; counts are since its start.
 *
 * @param entries keys that have a value
 * @param bytes bytes of all its segments
 * @param memory bytes of the index, as reckoned
 * @param segments files of records
 * @param oldest when the oldest segment was begun, store's time in milliseconds; of no use without
 *     segments
 * @param forces times that the disk was told to force
 * @param records records appended
 * @param appended bytes appended
 * @param largestGroup most records that went out with one force
 * @param copied bytes that compaction has copied
 * @param dropped segments that were past their time
 * @param failures failures of the disk
 * @param fault what the disk failed with, or null while it is well
 */
public record Stats(
        int entries,
        long bytes,
        long memory,
        int segments,
        long oldest,
        long forces,
        long records,
        long appended,
        int largestGroup,
        long copied,
        long dropped,
        long failures,
        String fault) {
    public boolean well() {
        return fault == null;
    }
}
