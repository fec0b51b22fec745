package ochretiller.tools;

import java.util.concurrent.locks.LockSupport;

/** Waits until a given time, as precisely as the scheduler of the machine allows. */
final class PreciseTimer {
    private PreciseTimer() {}

    /** Returns when {@link System#nanoTime} has reached the deadline. */
    static void waitUntil(long deadlineNanos) {
        for (long remaining = deadlineNanos - System.nanoTime();
                remaining > 0;
                remaining = deadlineNanos - System.nanoTime()) {
            LockSupport.parkNanos(remaining);
        }
    }
}
