package ochretiller.tools;

import java.util.concurrent.locks.LockSupport;

/** Waits that end on time, as far as the machine lets them. */
final class PreciseTimer {
    private PreciseTimer() {}

    /** Returns once the clock of {@link System#nanoTime} has come to this. */
    static void until(long nanos) {
        for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
