package ochretiller.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The in-memory directory of keys (Bitcask's "keydir"): for each key the newest record, and where
 * on disk it lies. Not safe for several threads: the thread that opens the store owns it first, the
 * writer thread from {@link Store#start} on.
 */
final class Index {
    /**
     * Memory of an entry beside its key and metadata: two objects, two array headers and its place
     * in the map.
     */
    static final int ENTRY_OVERHEAD_BYTES = 200;

    private final Map<StoreKey, IndexEntry> entries = new HashMap<>();
    private int liveKeys;
    private long memoryBytes;

    /** Keys that have a value; tombstones are not counted. */
    int liveKeys() {
        return liveKeys;
    }

    /** Memory of all entries, estimated. */
    long memoryBytes() {
        return memoryBytes;
    }

    /** The newest record of a key, which may be a tombstone. */
    Optional<IndexEntry> get(StoreKey key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Adds a record to its segment and here. The highest sequence number wins, in whatever order
     * records are added.
     */
    void put(IndexEntry entry) {
        entry.segment().add(entry);
        IndexEntry known = entries.get(entry.key());
        if (known != null && known.sequence() > entry.sequence()) {
            entry.segment().supersede(entry);
            return;
        }
        if (known != null) {
            remove(known);
        }
        entries.put(entry.key(), entry);
        liveKeys += entry.isPut() ? 1 : 0;
        memoryBytes += entry.memoryBytes();
    }

    private void remove(IndexEntry entry) {
        entry.segment().supersede(entry);
        entries.remove(entry.key());
        liveKeys -= entry.isPut() ? 1 : 0;
        memoryBytes -= entry.memoryBytes();
    }

    /**
     * Drops entries that expired or whose file is gone; those that newer records have superseded
     * are left alone.
     */
    void removeAll(List<IndexEntry> gone) {
        gone.stream().filter(entry -> entries.get(entry.key()) == entry).forEach(this::remove);
    }

    /** Latest end of a life among all entries; empty without entries. */
    OptionalLong latestExpiryMillis() {
        return entries.values().stream().mapToLong(IndexEntry::expiresAtMillis).max();
    }

    /** Hands over the newest record of each key, in no particular order. */
    void forEach(Consumer<IndexEntry> visitor) {
        entries.values().forEach(visitor);
    }
}
