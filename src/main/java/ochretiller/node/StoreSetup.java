package ochretiller.node;

import java.time.Duration;
import java.util.Optional;
import ochretiller.fleet.service.ReplicationSettings;
import ochretiller.operator.OperatorConfig;
import ochretiller.store.StorageDirectory;
import ochretiller.store.StoreLimits;

/**
 * Location and limits of the store for idempotency records.
 *
 * @param settings the operators' settings of the store
 * @param replication replication settings, if the store also holds the fleet's replica entries
 * @param directory directory of the store's files
 * @param recordLifetime longest time for which a record is needed: the longest deduplication window
 *     plus client timeouts
 */
record StoreSetup(
        OperatorConfig.Durability settings,
        Optional<ReplicationSettings> replication,
        StorageDirectory directory,
        Duration recordLifetime) {
    /** Index memory to reserve for each key, in bytes. */
    private static final long INDEX_BYTES_PER_ENTRY = 600;

    /** Store keys to reserve for each replica entry: the entry itself and its changes. */
    private static final int KEYS_PER_REPLICA_ENTRY = 2;

    /** Disk bytes to reserve for each replica byte, since dead records remain until compaction. */
    private static final int BYTES_PER_REPLICA_BYTE = 4;

    /** A segment that expires within this many record lifetimes is left to expire uncompacted. */
    private static final int MIN_REMAINING_LIFETIMES = 4;

    /** Returns the limits of the store: the configured ones plus those for replica entries. */
    StoreLimits limits() {
        int maxEntries =
                settings.maxEntries()
                        + replication
                                .map(fleet -> KEYS_PER_REPLICA_ENTRY * fleet.maxEntries())
                                .orElse(0);
        long maxBytes =
                settings.maxBytes()
                        + replication
                                .map(fleet -> BYTES_PER_REPLICA_BYTE * fleet.maxBytes())
                                .orElse(0L);
        return StoreLimits.builder()
                .maxEntries(maxEntries)
                .maxBytes(maxBytes)
                .maxIndexBytes(maxEntries * INDEX_BYTES_PER_ENTRY)
                .segmentBytes(settings.segmentBytes())
                .maxSegmentAge(settings.maxSegmentAge())
                .compactionBytesPerSecond(settings.compactionBytesPerSecond())
                .compactionMinRemainingLifetime(
                        recordLifetime.multipliedBy(MIN_REMAINING_LIFETIMES))
                .maxRecordLifetime(recordLifetime)
                .build();
    }
}
