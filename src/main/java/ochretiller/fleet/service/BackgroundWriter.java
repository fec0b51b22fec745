package ochretiller.fleet.service;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Executes small, infrequent writes in order on a daemon thread that ends when it is idle. */
final class BackgroundWriter {
    private static final int IDLE_SECONDS = 10;

    private final ThreadPoolExecutor executor;

    /**
     * @param name name of the thread
     * @param maxQueuedWrites capacity of the queue; further writes are rejected
     */
    BackgroundWriter(String name, int maxQueuedWrites) {
        executor =
                new ThreadPoolExecutor(
                        0,
                        1,
                        IDLE_SECONDS,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(maxQueuedWrites),
                        work -> {
                            Thread thread = new Thread(work, name);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** Queues a write; returns false if the queue is full or the writer is closed. */
    boolean submit(Runnable write) {
        try {
            executor.execute(write);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    void close() {
        executor.shutdown();
    }
}
