package ochretiller.store;

import java.util.List;

/**
 * Result of verifying every byte of a store. Immutable.
 *
 * @param segments oldest first
 * @param entries number of keys that have a value
 * @param bytes total size of all segments in bytes
 * @param tornBytes bytes of a torn write at the end of the last segment, which was never
 *     acknowledged and is harmless
 * @param damage descriptions of invalid bytes and of missing ends of segments; one line each
 * @param leftoverFiles obsolete files that the next start deletes
 * @param unknownFiles files that do not belong to the store
 */
public record StoreReport(
        List<SegmentReport> segments,
        int entries,
        long bytes,
        long tornBytes,
        List<String> damage,
        List<String> leftoverFiles,
        List<String> unknownFiles) {
    /** Returns whether no record that may have been acknowledged is missing. */
    public boolean isUndamaged() {
        return damage.isEmpty();
    }
}
