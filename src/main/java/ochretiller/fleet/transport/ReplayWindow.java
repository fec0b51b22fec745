package ochretiller.fleet.transport;

import java.util.Arrays;
import java.util.Map;
import ochretiller.collections.BoundedMap;

/**
 * Detects replayed packets with a sliding window over the sequence numbers of each incarnation, as
 * RFC 4303, section 3.4.3, does for IPsec. Confined to the reader thread.
 */
final class ReplayWindow {
    /** Size of a window, which allows reordering among the packets of a few seconds. */
    private static final int WINDOW_PACKETS = 1024;

    /** Maximum number of incarnations with a window: more than a fleet has. */
    private static final int MAX_INCARNATIONS = 4096;

    private final Map<Long, Window> windows =
            BoundedMap.evictingLeastRecentlyUsed(MAX_INCARNATIONS);

    /** Records a packet as received; false if it is a replay or older than the window. */
    boolean markReceived(long incarnation, long sequence) {
        if (sequence <= 0) {
            return false;
        }
        return windows.computeIfAbsent(incarnation, ignored -> new Window()).markReceived(sequence);
    }

    /** Window of one incarnation: a circular bit set. */
    private static final class Window {
        private final long[] bits = new long[WINDOW_PACKETS / Long.SIZE];
        private long highest;

        boolean markReceived(long sequence) {
            if (sequence > highest) {
                advanceTo(sequence);
            } else if (sequence <= highest - WINDOW_PACKETS || isReceived(sequence)) {
                return false;
            }
            bits[wordOf(sequence)] |= maskOf(sequence);
            return true;
        }

        private void advanceTo(long sequence) {
            if (sequence - highest >= WINDOW_PACKETS) {
                Arrays.fill(bits, 0);
            } else {
                for (long skipped = highest + 1; skipped <= sequence; skipped++) {
                    bits[wordOf(skipped)] &= ~maskOf(skipped);
                }
            }
            highest = sequence;
        }

        private boolean isReceived(long sequence) {
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
