package ochretiller.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Copies what is live of one sealed segment into a file beside it, a step at a time, and puts that
 * in its place at once. The number stays: order between segments does not matter, since the newest
 * record of a key is known by its sequence.
 */
final class Compaction {
    private static final int STEP = 256 * 1024;
    private static final byte[] NONE = new byte[0];

    private final Segment segment;
    private final long rate;
    private final long begunAt;
    private final List<Index.IndexEntry> live;
    private final Map<Index.IndexEntry, Integer> places = new HashMap<>();
    private StorageDirectory.StorageFile from;
    private StorageDirectory.StorageFile to;
    private int next;
    private long size = RecordFormat.SEGMENT_HEADER_BYTES;
    private boolean done;

    Compaction(Segment segment, long rate, long now) {
        this.segment = segment;
        this.rate = rate;
        this.begunAt = now;
        this.live = new ArrayList<>(segment.liveEntries());
        live.removeIf(
                slot ->
                        slot.expiresAtMillis
                                <= now); // a removal that is past its time hides nothing any more
        live.sort(Comparator.comparingInt(slot -> slot.offset));
    }

    /**
     * The segment that gains most by it, or null: most of it is dead, and it will not soon be
     * dropped as a whole.
     */
    static Compaction next(
            Collection<Segment> segments, Segment active, StoreLimits limits, long now) {
        Segment best = null;
        for (Segment each : segments) {
            boolean worth =
                    each != active
                            && each.sealed
                            && !each.damaged
                            && each.deadRatio() >= limits.compactionDeadRatio()
                            && each.lastExpiryMillis - now
                                    > limits.compactionMinRemainingLife().toMillis();
            if (worth && (best == null || each.deadBytes > best.deadBytes)) {
                best = each;
            }
        }
        return best == null ? null : new Compaction(best, limits.compactionBytesPerSecond(), now);
    }

    Segment segment() {
        return segment;
    }

    private String copy() {
        return segment.fileName() + ".tmp";
    }

    /** Copies a little, as the rate allows; true once all is in the copy and on the medium. */
    boolean step(StorageDirectory disk, long now) throws IOException {
        if (to == null) {
            disk.delete(copy());
            from = disk.open(segment.fileName());
            to = disk.create(copy());
            ByteBuffer header = ByteBuffer.allocate(RecordFormat.SEGMENT_HEADER_BYTES);
            from.read(header, 0);
            to.write(header.flip(), 0);
        }
        long allowed =
                rate == Long.MAX_VALUE
                        ? STEP
                        : Math.min(STEP, rate * (now - begunAt + 1) / 1000 - size);
        ByteBuffer out = ByteBuffer.allocate(STEP + RecordFormat.MAX_RECORD_BYTES);
        while (next < live.size() && out.position() < allowed) {
            Index.IndexEntry slot = live.get(next++);
            if (slot.superseded) {
                continue;
            }
            ByteBuffer record = ByteBuffer.allocate(slot.recordBytes);
            from.read(record, slot.offset);
            // Guards against spreading damage: a record that went bad stays where it is, and so
            // does its segment.
            if (RecordFormat.inspect(record.flip()) != RecordFormat.RecordStatus.VALID) {
                throw new IOException("damage in " + segment.fileName());
            }
            places.put(slot, (int) (size + out.position()));
            out.put(record);
        }
        if (out.position() > 0) {
            int bytes = out.position();
            to.write(out.flip(), size);
            to.force();
            size += bytes;
        }
        if (next < live.size()) {
            return false;
        }
        if (!done) {
            ByteBuffer seal = ByteBuffer.allocate(HintFile.SEAL_BYTES);
            RecordFormat.encode(
                    seal,
                    lastSequence(),
                    RecordFormat.SEAL,
                    0,
                    NONE,
                    NONE,
                    ByteBuffer.allocate(8).putLong(places.size()).array());
            to.write(seal.flip(), size);
            to.force();
            size += HintFile.SEAL_BYTES;
            done = true;
        }
        return true;
    }

    private long lastSequence() {
        return live.stream().mapToLong(slot -> slot.sequence).max().orElse(0);
    }

    /**
     * Puts the copy in the segment's place, on the medium too, and tells the index; returns the
     * bytes copied.
     */
    long finish(StorageDirectory disk, Index index) throws IOException {
        close();
        disk.delete(RecordFormat.hintFileName(segment.number));
        disk.rename(copy(), segment.fileName());
        // From here on the copy is what is read, whether or not the folder can be forced: either
        // file holds all that is live.
        List<Index.IndexEntry> gone =
                segment.liveEntries().stream().filter(slot -> !places.containsKey(slot)).toList();
        index.forget(gone);
        long dead = HintFile.SEAL_BYTES;
        for (Map.Entry<Index.IndexEntry, Integer> each : places.entrySet()) {
            each.getKey().offset = each.getValue();
            if (each.getKey().superseded) {
                dead += each.getKey().recordBytes;
            }
        }
        segment.size = size;
        segment.deadBytes = dead;
        segment.records = places.size() + 1;
        disk.forceDirectory();
        return size;
    }

    void abandon(StorageDirectory disk) {
        try {
            close();
            disk.delete(copy());
        } catch (IOException e) {
            // a start deletes it
        }
    }

    private void close() throws IOException {
        Closeable first = from;
        Closeable second = to;
        from = to = null;
        if (first != null) {
            first.close();
        }
        if (second != null) {
            second.close();
        }
    }
}
