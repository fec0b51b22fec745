package ochretiller.store;

/**
 * Result of verifying one segment. Immutable.
 *
 * @param name name of its file
 * @param bytes size of the file in bytes
 * @param records number of records, including the seal
 * @param deadBytes bytes of superseded records and of the seal
 * @param sealed whether its last record is a seal
 * @param damaged whether part of it cannot be read
 */
public record SegmentReport(
        String name, long bytes, int records, long deadBytes, boolean sealed, boolean damaged) {}
