package ochretiller.fleet.replication;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * What a set of marks is, in a size that depends on what differs and not on the set: each mark is
 * put into three cells, one less the other leaves the difference, and cells with one mark alone
 * give it away (Eppstein and others 2011, "What's the difference?"). Some one and a half cells for
 * each that differs are enough; where they are not, nothing is told.
 */
public final class SetSketch {
    /** Cells in all: what fits one datagram beside its envelope. */
    static final int MAX_CELLS = 384;

    /** Cells that each mark is put into, each in a part of its own. */
    private static final int PARTS = 3;

    /** Bytes of a cell: how many, their exclusive or, and that of their sums. */
    static final int CELL_BYTES = 14;

    private final int cells;
    private final short[] counts;
    private final long[] marks;
    private final int[] sums;

    /** What one has and the other lacks. */
    public record SetDifference(Set<Long> onlyHere, Set<Long> onlyThere) {}

    /** An empty one of so many cells, rounded to whole parts. */
    SetSketch(int cells) {
        this.cells = Math.max(PARTS, Math.min(MAX_CELLS, (cells + PARTS - 1) / PARTS * PARTS));
        counts = new short[this.cells];
        marks = new long[this.cells];
        sums = new int[this.cells];
    }

    int cells() {
        return cells;
    }

    /**
     * Bits of a mark, mixed anew for each use: marks are hashes already, and a sum must not follow
     * from them.
     */
    private static long mixed(long mark, int use) {
        long z = mark + (use + 1) * 0x9E3779B97F4A7C15L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    private int cell(long mark, int part) {
        int size = cells / PARTS;
        return part * size + (int) Long.remainderUnsigned(mixed(mark, part), size);
    }

    private static int sum(long mark) {
        return (int) mixed(mark, PARTS);
    }

    void add(long mark) {
        put(mark, 1);
    }

    private void put(long mark, int times) {
        for (int part = 0; part < PARTS; part++) {
            int at = cell(mark, part);
            counts[at] += (short) times;
            marks[at] ^= mark;
            sums[at] ^= sum(mark);
        }
    }

    /**
     * What is in this one and not in the other, and the other way round; empty where too much
     * differs to tell.
     */
    Optional<SetDifference> subtract(SetSketch other) {
        if (other.cells != cells) {
            return Optional.empty();
        }
        SetSketch rest = new SetSketch(cells);
        Deque<Integer> alone = new ArrayDeque<>();
        for (int i = 0; i < cells; i++) {
            rest.counts[i] = (short) (counts[i] - other.counts[i]);
            rest.marks[i] = marks[i] ^ other.marks[i];
            rest.sums[i] = sums[i] ^ other.sums[i];
            alone.add(i);
        }
        Set<Long> mine = new HashSet<>();
        Set<Long> theirs = new HashSet<>();
        // Guards against a sketch of another's making that would go round for ever: no more marks
        // than cells come out of it.
        while (!alone.isEmpty() && mine.size() + theirs.size() <= cells) {
            int at = alone.poll();
            int count = rest.counts[at];
            long mark = rest.marks[at];
            if (count != 1 && count != -1 || rest.sums[at] != sum(mark)) {
                continue;
            }
            (count == 1 ? mine : theirs).add(mark);
            rest.put(mark, -count);
            for (int part = 0; part < PARTS; part++) {
                alone.add(cell(mark, part));
            }
        }
        for (int i = 0; i < cells; i++) {
            if (rest.counts[i] != 0 || rest.marks[i] != 0 || rest.sums[i] != 0) {
                return Optional.empty();
            }
        }
        return Optional.of(new SetDifference(mine, theirs));
    }

    /** Its cells as bytes, the highest first. */
    public byte[] toBytes() {
        ByteBuffer out = ByteBuffer.allocate(cells * CELL_BYTES);
        for (int i = 0; i < cells; i++) {
            out.putShort(counts[i]).putLong(marks[i]).putInt(sums[i]);
        }
        return out.array();
    }

    /** One as {@link #toBytes} has told it. */
    public static SetSketch fromBytes(byte[] bytes) {
        int cells = bytes.length / CELL_BYTES;
        if (cells * CELL_BYTES != bytes.length
                || cells < PARTS
                || cells > MAX_CELLS
                || cells % PARTS != 0) {
            throw new IllegalArgumentException("no sketch");
        }
        SetSketch sketch = new SetSketch(cells);
        ByteBuffer in = ByteBuffer.wrap(bytes);
        for (int i = 0; i < cells; i++) {
            sketch.counts[i] = in.getShort();
            sketch.marks[i] = in.getLong();
            sketch.sums[i] = in.getInt();
        }
        return sketch;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SetSketch sketch
                && java.util.Arrays.equals(toBytes(), sketch.toBytes());
    }

    @Override
    public int hashCode() {
        return java.util.Arrays.hashCode(marks);
    }

    @Override
    public String toString() {
        return "sketch of "
                + cells
                + " cells "
                + Long.toHexString(java.util.Arrays.hashCode(toBytes()));
    }
}
