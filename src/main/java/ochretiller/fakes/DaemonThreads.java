package ochretiller.fakes;

import java.io.IOException;

/**
 * Threads that stand-ins work on; the end of a socket ends them, and none keeps its process from
 * ending.
 */
public final class DaemonThreads {
    /** What is done on one. */
    @FunctionalInterface
    public interface Work {
        void run() throws IOException, InterruptedException;
    }

    private DaemonThreads() {}

    public static void start(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (IOException | InterruptedException e) {
                                // its socket was closed, or its peer is gone: the play is over
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
