package ochretiller.store;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The name of one of a store's files, taken apart. Immutable.
 *
 * @param segmentNumber number of the segment that the file is or belongs to
 * @param kind what the file holds
 */
record SegmentFileName(long segmentNumber, Kind kind) {
    /** The file whose lock a process holds while it has the store open. */
    static final String LOCK_FILE = "LOCK";

    /** Ending of a file that is still being written, beside the one that it will replace. */
    static final String TEMPORARY_SUFFIX = ".tmp";

    private static final Pattern PATTERN =
            Pattern.compile("seg-([0-9a-f]{16})\\.(log|hint|log\\.tmp|hint\\.tmp)");

    /** What a file holds. */
    enum Kind {
        /** Records. */
        LOG,
        /** The index entries of a sealed segment. */
        HINT,
        /** The unfinished output of a compaction or of a hint's writing; a start deletes it. */
        TEMPORARY
    }

    /** The parts of a name; empty where the file is not the store's. */
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
