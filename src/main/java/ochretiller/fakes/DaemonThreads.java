package ochretiller.fakes;

import java.io.IOException;

/** Starts daemon threads for fakes. Each runs until its socket is closed or its peer is gone. */
public final class DaemonThreads {
    /** The work of one thread. */
    @FunctionalInterface
    public interface Task {
        /** Does the work; an exception that it declares ends the thread silently. */
        void run() throws IOException, InterruptedException;
    }

    private DaemonThreads() {}

    /** Starts a thread that does not keep its process from exiting. */
    public static void start(Task work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (IOException | InterruptedException e) {
                                // the socket was closed or the peer is gone: the thread ends
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
