package ochretiller.node;

import java.time.Duration;
import java.util.Optional;
import ochretiller.fleet.service.ReplicationSettings;
import ochretiller.operator.OperatorConfig;
import ochretiller.store.StorageDirectory;
import ochretiller.store.StoreLimits;

/**
 * Where and within which bounds idempotency records are stored.
 *
 * @param settings the operators' settings
 * @param replication bounds of what is kept in the same store for the fleet, if anything is
 * @param directory where the store's files are
 * @param recordLife no record is of use for longer: the longest window of an operation and its
 *     client timeouts
 */
record StoreSetup(
        OperatorConfig.Remember settings,
        Optional<ReplicationSettings> replication,
        StorageDirectory directory,
        Duration recordLife) {
    /** Bytes of the store's index that one key may take. */
    private static final long INDEX_BYTES_PER_ENTRY = 600;

    /**
     * Keys that the store may hold for each one that the fleet may keep: its entry and the entry's
     * changes.
     */
    private static final int KEYS_PER_REPLICA_ENTRY = 2;

    /** Bytes on disk for each byte that the fleet may keep: dead records stay until compaction. */
    private static final int BYTES_PER_REPLICA_BYTE = 4;

    /** A segment that expires within so many record lives is not compacted but waited for. */
    private static final int MIN_REMAINING_LIVES = 4;

    /** Returns the bounds of the store; what is kept for the fleet has room of its own. */
    StoreLimits limits() {
        int maxEntries =
                settings.mostEntries()
                        + replication.map(fleet -> KEYS_PER_REPLICA_ENTRY * fleet.most()).orElse(0);
        long maxBytes =
                settings.mostBytes()
                        + replication
                                .map(fleet -> BYTES_PER_REPLICA_BYTE * fleet.mostBytes())
                                .orElse(0L);
        return StoreLimits.builder()
                .maxEntries(maxEntries)
                .maxBytes(maxBytes)
                .maxIndexBytes(maxEntries * INDEX_BYTES_PER_ENTRY)
                .segmentBytes(settings.segmentBytes())
                .maxSegmentAge(settings.rollAfter())
                .compactionBytesPerSecond(settings.copyRate())
                .compactionMinRemainingLife(recordLife.multipliedBy(MIN_REMAINING_LIVES))
                .maxRecordLife(recordLife)
                .build();
    }
}
