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
    static final int COST = 200;

    /**
     * The newest record of a key; a removed one stays until it expires, so that an older record
     * cannot come back.
     */
    static final class Slot {
        final Key key;
        final long sequence;
        final byte kind;
        final long expires;
        final byte[] meta;
        final int size;
        Segment segment;
        int at;

        /** A newer record of its key has been told. */
        boolean dead;

        Slot(
                Key key,
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
            this.expires = expires;
            this.meta = meta;
            this.size = size;
            this.segment = segment;
            this.at = at;
        }

        boolean live() {
            return kind == Format.PUT;
        }
    }

    private final Map<Key, Slot> slots = new HashMap<>();
    private int entries;
    private long memory;

    int entries() {
        return entries;
    }

    long memory() {
        return memory;
    }

    Slot get(Key key) {
        return slots.get(key);
    }

    /** The newest wins, in whatever order they are told. */
    void put(Slot slot) {
        slot.segment.add(slot);
        Slot old = slots.get(slot.key);
        if (old != null && old.sequence > slot.sequence) {
            slot.segment.dies(slot);
            return;
        }
        if (old != null) {
            forget(old);
        }
        slots.put(slot.key, slot);
        entries += slot.live() ? 1 : 0;
        memory += COST + slot.key.bytes.length + slot.meta.length;
    }

    private void forget(Slot slot) {
        slot.segment.dies(slot);
        slots.remove(slot.key);
        entries -= slot.live() ? 1 : 0;
        memory -= COST + slot.key.bytes.length + slot.meta.length;
    }

    /** Forgets what is given up together with its file, or is past its time. */
    void forget(List<Slot> gone) {
        gone.stream().filter(slot -> slots.get(slot.key) == slot).forEach(this::forget);
    }

    void forEach(Consumer<Slot> with) {
        slots.values().forEach(with);
    }
}
