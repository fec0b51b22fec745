package ochretiller.store;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** What is live and where it lies. It is owned by one thread at a time. */
final class Index {
    /**
     * Bytes of memory that an entry takes beside its key and meta: two objects, two arrays, its
     * place in the map.
     */
    static final int ENTRY_OVERHEAD_BYTES = 200;

    /**
     * The newest record of a key; a removed one stays until it expires, so that an older record
     * cannot come back.
     */
    static final class IndexEntry {
        final StoreKey key;
        final long sequence;
        final byte kind;
        final long expiresAtMillis;
        final byte[] metadata;
        final int recordBytes;
        Segment segment;
        int offset;

        /** A newer record of its key has been told. */
        boolean superseded;

        IndexEntry(
                StoreKey key,
                long sequence,
                byte kind,
                long expires,
                byte[] meta,
                int size,
                Segment segment,
                int at) {
            this.key = key;
            this.sequence = sequence;
            this.kind = kind;
            this.expiresAtMillis = expires;
            this.metadata = meta;
            this.recordBytes = size;
            this.segment = segment;
            this.offset = at;
        }

        boolean isPut() {
            return kind == RecordFormat.PUT;
        }
    }

    private final Map<StoreKey, IndexEntry> slots = new HashMap<>();
    private int liveKeys;
    private long memoryBytes;

    int liveKeys() {
        return liveKeys;
    }

    long memoryBytes() {
        return memoryBytes;
    }

    IndexEntry get(StoreKey key) {
        return slots.get(key);
    }

    /** The newest wins, in whatever order they are told. */
    void put(IndexEntry slot) {
        slot.segment.add(slot);
        IndexEntry old = slots.get(slot.key);
        if (old != null && old.sequence > slot.sequence) {
            slot.segment.supersede(slot);
            return;
        }
        if (old != null) {
            forget(old);
        }
        slots.put(slot.key, slot);
        liveKeys += slot.isPut() ? 1 : 0;
        memoryBytes += ENTRY_OVERHEAD_BYTES + slot.key.bytes.length + slot.metadata.length;
    }

    private void forget(IndexEntry slot) {
        slot.segment.supersede(slot);
        slots.remove(slot.key);
        liveKeys -= slot.isPut() ? 1 : 0;
        memoryBytes -= ENTRY_OVERHEAD_BYTES + slot.key.bytes.length + slot.metadata.length;
    }

    /** Forgets what is given up together with its file, or is past its time. */
    void forget(List<IndexEntry> gone) {
        gone.stream().filter(slot -> slots.get(slot.key) == slot).forEach(this::forget);
    }

    void forEach(Consumer<IndexEntry> with) {
        slots.values().forEach(with);
    }
}
