package ochretiller.fleet.service;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** A thread for writes that are small and seldom: it is there while there are any. */
final class BackgroundWriter {
    private static final int IDLE_SECONDS = 10;

    private final ThreadPoolExecutor thread;

    /**
     * @param most writes that wait; what comes on top is not taken
     */
    BackgroundWriter(String name, int most) {
        thread =
                new ThreadPoolExecutor(
                        0,
                        1,
                        IDLE_SECONDS,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(most),
                        work -> {
                            Thread each = new Thread(work, name);
                            each.setDaemon(true);
                            return each;
                        });
    }

    /** Whether it will be carried out. */
    boolean submit(Runnable write) {
        try {
            thread.execute(write);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    void close() {
        thread.shutdown();
    }
}
