package ochretiller.store;

import java.util.List;

/**
 * What a check of every byte of a store has found. Immutable.
 *
 * @param segments oldest first
 * @param entries keys that have a value
 * @param bytes bytes of all segments
 * @param tornBytes bytes at the end of the last segment that are a torn write, which was never
 *     acknowledged; harmless
 * @param damage what is there and no record, or missing in front of what is there; one line each
 * @param leftoverFiles files without use that the next start deletes
 * @param unknownFiles files that are not the store's
 */
public record StoreReport(
        List<SegmentReport> segments,
        int entries,
        long bytes,
        long tornBytes,
        List<String> damage,
        List<String> leftoverFiles,
        List<String> unknownFiles) {
    /** Whether nothing that may have been acknowledged is missing. */
    public boolean isUndamaged() {
        return damage.isEmpty();
    }
}
