package ochretiller.node;

import java.util.Arrays;
import java.util.function.IntConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Ends the process when a thread fails with an {@link Error}, such as a stack overflow or exhausted
 * memory. A server without its event loop or an I/O thread can neither answer nor drain, so it logs
 * the cause and exits at once; its supervisor can then replace it. Threads that fail with an
 * exception are logged only.
 *
 * <p>Thread-safe.
 */
final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
    /** Exit code of a process that ended because of an {@link Error}. */
    static final int EXIT_CODE = 4;

    /** Logged stack frames: enough to show the cycle of a stack overflow. */
    private static final int MAX_LOGGED_FRAMES = 64;

    private static final Logger LOG = Logger.getLogger(FatalErrorHandler.class.getName());

    private final IntConsumer exit;

    /**
     * Creates a handler.
     *
     * @param exit ends the process with an exit code, without running shutdown hooks
     */
    FatalErrorHandler(IntConsumer exit) {
        this.exit = exit;
    }

    /** Makes this the handler of all threads that have none of their own. */
    void install() {
        Thread.setDefaultUncaughtExceptionHandler(this);
    }

    @Override
    public void uncaughtException(Thread thread, Throwable thrown) {
        if (!(thrown instanceof Error)) {
            LOG.log(Level.SEVERE, "uncaught exception in thread " + thread.getName(), thrown);
            return;
        }
        try {
            limitStackTrace(thrown);
            LOG.log(
                    Level.SEVERE,
                    "fatal error in thread " + thread.getName() + ", the process exits",
                    thrown);
        } finally {
            exit.accept(EXIT_CODE); // even if there is no memory left for the log line
        }
    }

    private static void limitStackTrace(Throwable thrown) {
        StackTraceElement[] frames = thrown.getStackTrace();
        int loggedFrames = Math.min(frames.length, MAX_LOGGED_FRAMES);
        thrown.setStackTrace(Arrays.copyOf(frames, loggedFrames));
    }
}
