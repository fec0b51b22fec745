package ochretiller.node;

import java.util.Optional;
import java.util.logging.Logger;

/**
 * Decides what SIGHUP and SIGTERM do before a server is ready, while it serves, and after its end.
 * It is installed before anything is read, since a JVM without handlers ends at once. All methods
 * may be called on any thread.
 */
public final class ProcessLifecycle {
    private static final Logger LOG = Logger.getLogger(ProcessLifecycle.class.getName());

    private Optional<ServerNode> server = Optional.empty();
    private boolean startFailed;
    private boolean reloadRequested;

    private ProcessLifecycle() {}

    /** Handles the signals from here on. */
    public static ProcessLifecycle install() {
        ProcessLifecycle lifecycle = new ProcessLifecycle();
        ReloadSignal.onHangup(lifecycle::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(lifecycle::shutDown, "leave"));
        return lifecycle;
    }

    /** The server is ready to listen: from here on the signals are passed on to it. */
    public synchronized void serverReady(ServerNode ready) {
        server = Optional.of(ready);
        if (reloadRequested) {
            ready.reload(); // its configuration may have been read before the signal came
        }
    }

    /**
     * The server could not be started: the process ends with the exit code that the start returns.
     */
    public synchronized void startFailed() {
        startFailed = true;
    }

    private void reload() {
        Optional<ServerNode> current;
        synchronized (this) {
            current = server;
            reloadRequested = true;
        }
        current.ifPresent(ServerNode::reload);
    }

    /** Runs as a shutdown hook: after a signal, or because the server's work is over. */
    private void shutDown() {
        ServerNode current;
        synchronized (this) {
            if (startFailed) {
                return;
            }
            if (server.isEmpty()) {
                // Nothing was read yet, and a start that goes on meanwhile must not listen any
                // more.
                Runtime.getRuntime().halt(0);
            }
            current = server.get();
        }
        try {
            current.drain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            LOG.warning("interrupted while the server was shutting down");
        }
        // The exit code after a shutdown is 0; without the halt it would be that of the signal.
        Runtime.getRuntime().halt(0);
    }
}
