package ochretiller.fleet.replication;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * An invertible Bloom lookup table over 64-bit keys (Goodrich and Mitzenmacher 2011, "Invertible
 * Bloom Lookup Tables"), used for set reconciliation (Eppstein, Goodrich, Uyeda and Varghese 2011,
 * "What's the Difference?"): subtracting one server's sketch from another's leaves the symmetric
 * difference, with a size that depends on the difference and not on the sets. About 1.5 cells per
 * differing key are enough; with fewer, decoding fails detectably.
 *
 * <p>Unlike in the papers, there is no strata estimator: the sender sizes the sketch by the
 * difference of the entry counts, and retries with a larger one if decoding fails.
 *
 * <p>Mutable until it is sent; not thread-safe.
 */
public final class SetSketch {
    /** Maximum number of cells, so that a sketch fits into one datagram with its envelope. */
    static final int MAX_CELLS = 384;

    /**
     * Encoded size of a cell in bytes: count (2), XOR of the keys (8) and of their checksums (4).
     */
    static final int CELL_BYTES = 14;

    /** Number of hash functions. Each has its own partition, so a key's cells are distinct. */
    private static final int HASH_COUNT = 3;

    private final int cells;
    private final short[] counts;
    private final long[] keySums;
    private final int[] checksums;

    /**
     * Creates an empty sketch with this many cells, rounded up to whole partitions and bounded by
     * {@link #MAX_CELLS}.
     */
    SetSketch(int requestedCells) {
        int rounded = (requestedCells + HASH_COUNT - 1) / HASH_COUNT * HASH_COUNT;
        cells = Math.max(HASH_COUNT, Math.min(MAX_CELLS, rounded));
        counts = new short[cells];
        keySums = new long[cells];
        checksums = new int[cells];
    }

    int cells() {
        return cells;
    }

    /**
     * The SplitMix64 finaliser (Steele, Lea and Flood 2014), seeded so that checksums are
     * independent of cell positions.
     */
    private static long mix(long key, int seed) {
        long mixed = key + (seed + 1) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    private int cellOf(long key, int hash) {
        int partitionSize = cells / HASH_COUNT;
        return hash * partitionSize + (int) Long.remainderUnsigned(mix(key, hash), partitionSize);
    }

    private static int checksum(long key) {
        return (int) mix(key, HASH_COUNT);
    }

    void add(long key) {
        add(key, 1);
    }

    private void add(long key, int count) {
        for (int hash = 0; hash < HASH_COUNT; hash++) {
            int cell = cellOf(key, hash);
            counts[cell] += (short) count;
            keySums[cell] ^= key;
            checksums[cell] ^= checksum(key);
        }
    }

    /**
     * Returns the difference between this sketch's set and the other's; empty if it is too large to
     * decode or the sketches differ in size.
     */
    Optional<SetDifference> subtract(SetSketch other) {
        if (other.cells != cells) {
            return Optional.empty();
        }
        return cellwiseDifference(other).decode();
    }

    private SetSketch cellwiseDifference(SetSketch other) {
        SetSketch difference = new SetSketch(cells);
        for (int cell = 0; cell < cells; cell++) {
            difference.counts[cell] = (short) (counts[cell] - other.counts[cell]);
            difference.keySums[cell] = keySums[cell] ^ other.keySums[cell];
            difference.checksums[cell] = checksums[cell] ^ other.checksums[cell];
        }
        return difference;
    }

    /** Peels cells with a single key until none is left; modifies this sketch. */
    private Optional<SetDifference> decode() {
        Set<Long> positive = new HashSet<>();
        Set<Long> negative = new HashSet<>();
        Deque<Integer> candidates = new ArrayDeque<>();
        for (int cell = 0; cell < cells; cell++) {
            candidates.add(cell);
        }
        // Ends the loop for a forged sketch: no valid one decodes to more keys than it has cells.
        while (!candidates.isEmpty() && positive.size() + negative.size() <= cells) {
            int cell = candidates.poll();
            if (!isPure(cell)) {
                continue;
            }
            int count = counts[cell];
            long key = keySums[cell];
            (count == 1 ? positive : negative).add(key);
            add(key, -count);
            for (int hash = 0; hash < HASH_COUNT; hash++) {
                candidates.add(cellOf(key, hash));
            }
        }
        return isZero() ? Optional.of(new SetDifference(positive, negative)) : Optional.empty();
    }

    private boolean isPure(int cell) {
        return (counts[cell] == 1 || counts[cell] == -1)
                && checksums[cell] == checksum(keySums[cell]);
    }

    private boolean isZero() {
        for (int cell = 0; cell < cells; cell++) {
            if (counts[cell] != 0 || keySums[cell] != 0 || checksums[cell] != 0) {
                return false;
            }
        }
        return true;
    }

    /** Encodes the cells as big-endian numbers. */
    public byte[] toBytes() {
        ByteBuffer out = ByteBuffer.allocate(cells * CELL_BYTES);
        for (int cell = 0; cell < cells; cell++) {
            out.putShort(counts[cell]).putLong(keySums[cell]).putInt(checksums[cell]);
        }
        return out.array();
    }

    /**
     * Decodes the output of {@link #toBytes}.
     *
     * @throws IllegalArgumentException if the length is not that of a sketch
     */
    public static SetSketch fromBytes(byte[] bytes) {
        int cells = bytes.length / CELL_BYTES;
        if (cells * CELL_BYTES != bytes.length
                || cells < HASH_COUNT
                || cells > MAX_CELLS
                || cells % HASH_COUNT != 0) {
            throw new IllegalArgumentException(
                    "set sketch has "
                            + bytes.length
                            + " bytes; expected at most "
                            + MAX_CELLS
                            + " cells, a multiple of "
                            + HASH_COUNT
                            + ", of "
                            + CELL_BYTES
                            + " bytes each");
        }
        SetSketch sketch = new SetSketch(cells);
        ByteBuffer in = ByteBuffer.wrap(bytes);
        for (int cell = 0; cell < cells; cell++) {
            sketch.counts[cell] = in.getShort();
            sketch.keySums[cell] = in.getLong();
            sketch.checksums[cell] = in.getInt();
        }
        return sketch;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SetSketch sketch && Arrays.equals(toBytes(), sketch.toBytes());
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(keySums);
    }

    @Override
    public String toString() {
        return "sketch of " + cells + " cells " + Long.toHexString(Arrays.hashCode(toBytes()));
    }
}
