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
    private final List<Index.Slot> live;
    private final Map<Index.Slot, Integer> places = new HashMap<>();
    private Disk.File from;
    private Disk.File to;
    private int next;
    private long size = Format.HEADER;
    private boolean done;

    Compaction(Segment segment, long rate, long now) {
        this.segment = segment;
        this.rate = rate;
        this.begunAt = now;
        this.live = new ArrayList<>(segment.live());
        live.removeIf(
                slot ->
                        slot.expires
                                <= now); // a removal that is past its time hides nothing any more
        live.sort(Comparator.comparingInt(slot -> slot.at));
    }

    /**
     * The segment that gains most by it, or null: most of it is dead, and it will not soon be
     * dropped as a whole.
     */
    static Compaction next(Collection<Segment> segments, Segment active, Limits limits, long now) {
        Segment best = null;
        for (Segment each : segments) {
            boolean worth =
                    each != active
                            && each.sealed
                            && !each.damaged
                            && each.deadShare() >= limits.deadShare()
                            && each.lastExpires - now > limits.worthCopying().toMillis();
            if (worth && (best == null || each.dead > best.dead)) {
                best = each;
            }
        }
        return best == null ? null : new Compaction(best, limits.copyRate(), now);
    }

    Segment segment() {
        return segment;
    }

    private String copy() {
        return segment.file() + ".tmp";
    }

    /** Copies a little, as the rate allows; true once all is in the copy and on the medium. */
    boolean step(Disk disk, long now) throws IOException {
        if (to == null) {
            disk.delete(copy());
            from = disk.open(segment.file());
            to = disk.create(copy());
            ByteBuffer header = ByteBuffer.allocate(Format.HEADER);
            from.read(header, 0);
            to.write(header.flip(), 0);
        }
        long allowed =
                rate == Long.MAX_VALUE
                        ? STEP
                        : Math.min(STEP, rate * (now - begunAt + 1) / 1000 - size);
        ByteBuffer out = ByteBuffer.allocate(STEP + Format.LONGEST);
        while (next < live.size() && out.position() < allowed) {
            Index.Slot slot = live.get(next++);
            if (slot.dead) {
                continue;
            }
            ByteBuffer record = ByteBuffer.allocate(slot.size);
            from.read(record, slot.at);
            // Guards against spreading damage: a record that went bad stays where it is, and so
            // does its segment.
            if (Format.look(record.flip()) != Format.Place.WHOLE) {
                throw new IOException("damage in " + segment.file());
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
            ByteBuffer seal = ByteBuffer.allocate(Hint.SEAL_SIZE);
            Format.encode(
                    seal,
                    lastSequence(),
                    Format.SEAL,
                    0,
                    NONE,
                    NONE,
                    ByteBuffer.allocate(8).putLong(places.size()).array());
            to.write(seal.flip(), size);
            to.force();
            size += Hint.SEAL_SIZE;
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
    long finish(Disk disk, Index index) throws IOException {
        close();
        disk.delete(Format.hint(segment.number));
        disk.rename(copy(), segment.file());
        // From here on the copy is what is read, whether or not the folder can be forced: either
        // file holds all that is live.
        List<Index.Slot> gone =
                segment.live().stream().filter(slot -> !places.containsKey(slot)).toList();
        index.forget(gone);
        long dead = Hint.SEAL_SIZE;
        for (Map.Entry<Index.Slot, Integer> each : places.entrySet()) {
            each.getKey().at = each.getValue();
            if (each.getKey().dead) {
                dead += each.getKey().size;
            }
        }
        segment.size = size;
        segment.dead = dead;
        segment.records = places.size() + 1;
        disk.forceFolder();
        return size;
    }

    void abandon(Disk disk) {
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
