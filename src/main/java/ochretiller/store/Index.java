package ochretiller.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The in-memory directory of keys (Bitcask's "keydir"): for each key the newest record and its
 * position on disk. Not thread-safe: owned by the thread that opens the store until {@link
 * Store#start}, and by the writer thread afterwards.
 */
final class Index {
    /**
     * Estimated memory of an entry excluding its key and metadata: two objects, two array headers
     * and its slot in the map.
     */
    static final int ENTRY_OVERHEAD_BYTES = 200;

    private final Map<StoreKey, IndexEntry> entries = new HashMap<>();
    private int liveKeyCount;
    private long memoryBytes;

    /** Number of keys that have a value; tombstones are not counted. */
    int liveKeyCount() {
        return liveKeyCount;
    }

    /** Estimated memory of all entries, in bytes. */
    long memoryBytes() {
        return memoryBytes;
    }

    /** The newest record of a key, which may be a tombstone. */
    Optional<IndexEntry> get(StoreKey key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Adds a record to its segment and to this index. The highest sequence number wins, in whatever
     * order records are added.
     */
    void put(IndexEntry entry) {
        entry.segment().add(entry);
        IndexEntry previous = entries.get(entry.key());
        if (previous != null && previous.sequence() > entry.sequence()) {
            entry.segment().supersede(entry);
            return;
        }
        if (previous != null) {
            remove(previous);
        }
        entries.put(entry.key(), entry);
        liveKeyCount += entry.isPut() ? 1 : 0;
        memoryBytes += entry.memoryBytes();
    }

    private void remove(IndexEntry entry) {
        entry.segment().supersede(entry);
        entries.remove(entry.key());
        liveKeyCount -= entry.isPut() ? 1 : 0;
        memoryBytes -= entry.memoryBytes();
    }

    /**
     * Removes entries that expired or whose file was deleted. Entries that newer records have
     * superseded are ignored.
     */
    void removeAll(List<IndexEntry> obsolete) {
        obsolete.stream().filter(entry -> entries.get(entry.key()) == entry).forEach(this::remove);
    }

    /** Latest expiry time of all entries, on the store's clock; empty without entries. */
    OptionalLong latestExpiryMillis() {
        return entries.values().stream().mapToLong(IndexEntry::expiresAtMillis).max();
    }

    /** Visits the newest record of each key, in no particular order. */
    void forEach(Consumer<IndexEntry> visitor) {
        entries.values().forEach(visitor);
    }
}
