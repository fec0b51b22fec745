package ochretiller.store;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The parsed name of one of a store's files. Immutable.
 *
 * @param segmentNumber number of the segment that the file belongs to
 * @param kind type of the file's contents
 */
record SegmentFileName(long segmentNumber, Kind kind) {
    /** The file whose lock a process holds while it has the store open. */
    static final String LOCK_FILE = "LOCK";

    /**
     * Suffix of a file that is still being written and will replace the file without the suffix.
     */
    static final String TEMPORARY_SUFFIX = ".tmp";

    private static final Pattern PATTERN =
            Pattern.compile("seg-([0-9a-f]{16})\\.(log|hint|log\\.tmp|hint\\.tmp)");

    /** Type of a file's contents. */
    enum Kind {
        /** Records. */
        LOG,
        /** The index entries of a sealed segment. */
        HINT,
        /** The unfinished output of a compaction or of writing a hint; a start deletes it. */
        TEMPORARY
    }

    /** Parses a file name; empty if the file does not belong to the store. */
    static Optional<SegmentFileName> parse(String name) {
        Matcher matcher = PATTERN.matcher(name);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long number = Long.parseUnsignedLong(matcher.group(1), 16);
        Kind kind =
                switch (matcher.group(2)) {
                    case "log" -> Kind.LOG;
                    case "hint" -> Kind.HINT;
                    default -> Kind.TEMPORARY;
                };
        return Optional.of(new SegmentFileName(number, kind));
    }

    /** Name of a segment's file of records. */
    static String ofLog(long segmentNumber) {
        return String.format("seg-%016x.log", segmentNumber);
    }

    /** Name of a segment's hint file. */
    static String ofHint(long segmentNumber) {
        return String.format("seg-%016x.hint", segmentNumber);
    }
}
