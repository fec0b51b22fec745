package ochretiller.store;

/**
 * What a check has found of one segment. Immutable.
 *
 * @param name name of its file
 * @param bytes bytes of the file
 * @param records records, the seal included
 * @param deadBytes bytes of records that newer ones have superseded, and of the seal
 * @param sealed whether it was ended in order
 * @param damaged whether part of it cannot be read
 */
public record SegmentReport(
        String name, long bytes, int records, long deadBytes, boolean sealed, boolean damaged) {}
