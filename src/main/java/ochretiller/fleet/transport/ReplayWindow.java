package ochretiller.fleet.transport;

import java.util.Arrays;
import java.util.Map;
import ochretiller.collections.BoundedMap;

/**
 * Recognizes packets that were received before, by a sliding window over the sequence numbers of
 * each incarnation (as RFC 4303, section 3.4.3, does for IPsec). Used by the reading thread alone.
 */
final class ReplayWindow {
    /** Packets that may overtake one another: what a server sends in some seconds. */
    private static final int WINDOW_PACKETS = 1024;

    /** Incarnations that are remembered: more than a fleet has. */
    private static final int MAX_INCARNATIONS = 4096;

    private final Map<Long, Window> windows =
            BoundedMap.evictingLeastRecentlyUsed(MAX_INCARNATIONS);

    /** Returns whether a packet is received for the first time, and remembers it. */
    boolean take(long incarnation, long sequence) {
        if (sequence <= 0) {
            return false;
        }
        return windows.computeIfAbsent(incarnation, ignored -> new Window()).take(sequence);
    }

    /** The window of one incarnation: a ring of bits. */
    private static final class Window {
        private final long[] bits = new long[WINDOW_PACKETS / Long.SIZE];
        private long highest;

        boolean take(long sequence) {
            if (sequence > highest) {
                moveTo(sequence);
            } else if (sequence <= highest - WINDOW_PACKETS || isTaken(sequence)) {
                return false;
            }
            bits[wordOf(sequence)] |= maskOf(sequence);
            return true;
        }

        private void moveTo(long sequence) {
            if (sequence - highest >= WINDOW_PACKETS) {
                Arrays.fill(bits, 0);
            } else {
                for (long skipped = highest + 1; skipped <= sequence; skipped++) {
                    bits[wordOf(skipped)] &= ~maskOf(skipped);
                }
            }
            highest = sequence;
        }

        private boolean isTaken(long sequence) {
            return (bits[wordOf(sequence)] & maskOf(sequence)) != 0;
        }

        private static int wordOf(long sequence) {
            return (int) Math.floorMod(sequence, (long) WINDOW_PACKETS) / Long.SIZE;
        }

        private static long maskOf(long sequence) {
            return 1L << (int) Math.floorMod(sequence, (long) Long.SIZE);
        }
    }
}
