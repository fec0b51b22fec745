package ochretiller.fleet.transport;

import java.util.Map;
import ochretiller.collections.BoundedMap;

/**
 * Which packets of each start were taken, so that none is taken twice: the last thousand of each,
 * and the last starts.
 */
final class ReplayWindow {
    /** Packets of one start that may overtake one another: some seconds of what a server sends. */
    private static final int WIDTH = 1024;

    /** Starts that are remembered: more than a fleet has. */
    private static final int STARTS = 4096;

    private static final class Taken {
        long highest;
        final long[] bits = new long[WIDTH / Long.SIZE];

        boolean take(long sequence) {
            if (sequence > highest) {
                long steps = sequence - highest;
                if (steps >= WIDTH) {
                    java.util.Arrays.fill(bits, 0);
                } else {
                    for (long at = highest + 1; at <= sequence; at++) {
                        set(at, false);
                    }
                }
                highest = sequence;
            } else if (sequence <= highest - WIDTH || get(sequence)) {
                return false;
            }
            set(sequence, true);
            return true;
        }

        private boolean get(long sequence) {
            int at = (int) Math.floorMod(sequence, (long) WIDTH);
            return (bits[at / Long.SIZE] >>> at % Long.SIZE & 1) != 0;
        }

        private void set(long sequence, boolean to) {
            int at = (int) Math.floorMod(sequence, (long) WIDTH);
            if (to) {
                bits[at / Long.SIZE] |= 1L << at % Long.SIZE;
            } else {
                bits[at / Long.SIZE] &= ~(1L << at % Long.SIZE);
            }
        }
    }

    private final Map<Long, Taken> starts = BoundedMap.evictingLeastRecentlyUsed(STARTS);

    /** Whether it is taken now for the first time. */
    boolean take(long start, long sequence) {
        return sequence > 0 && starts.computeIfAbsent(start, ignored -> new Taken()).take(sequence);
    }
}
