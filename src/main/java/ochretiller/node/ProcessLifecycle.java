package ochretiller.node;

import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Handles SIGHUP and SIGTERM before the server is ready, while it serves, and after a failed start;
 * ends the process after an {@link Error}. To be installed before any file is read, since either
 * signal ends a JVM without handlers at once. All methods may be called on any thread.
 */
public final class ProcessLifecycle {
    private static final Logger LOG = Logger.getLogger(ProcessLifecycle.class.getName());

    private final FatalErrorHandler fatalErrors =
            new FatalErrorHandler(exitCode -> Runtime.getRuntime().halt(exitCode));
    private Optional<ServerNode> server = Optional.empty();
    private boolean hasStartFailed;
    private boolean isReloadRequested;

    private ProcessLifecycle() {}

    /** Installs the handlers of signals and of fatal errors. */
    public static ProcessLifecycle install() {
        ProcessLifecycle lifecycle = new ProcessLifecycle();
        lifecycle.fatalErrors.install();
        ReloadSignal.onHangup(lifecycle::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(lifecycle::shutDown, "leave"));
        return lifecycle;
    }

    /** Reports that the server is ready to listen; from now on it receives the signals. */
    public synchronized void onServerReady(ServerNode ready) {
        server = Optional.of(ready);
        if (isReloadRequested) {
            ready.reload(); // it may have read its configuration before the signal
        }
    }

    /**
     * Reports that the server could not be started; the shutdown hook then leaves the exit code to
     * the caller.
     */
    public synchronized void onStartFailed() {
        hasStartFailed = true;
    }

    /**
     * Ends the process after an error on the calling thread. Does not drain, since the event loop
     * may have stopped. Does not return.
     */
    public void onFatalError(Error error) {
        fatalErrors.uncaughtException(Thread.currentThread(), error);
    }

    private void reload() {
        Optional<ServerNode> current;
        synchronized (this) {
            current = server;
            isReloadRequested = true;
        }
        try {
            current.ifPresent(ServerNode::reload);
        } catch (RuntimeException | LinkageError e) {
            // Such as classes of a package that was replaced on disk: the server needs no reload
            // to go on.
            LOG.log(Level.SEVERE, "configuration not reloaded, keeping the current one", e);
        }
    }

    /** Shutdown hook, which runs after a signal or when the process exits by itself. */
    private void shutDown() {
        ServerNode current;
        synchronized (this) {
            if (hasStartFailed) {
                return;
            }
            if (server.isEmpty()) {
                // No request was accepted, and the concurrent start must not begin to listen.
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
        // A graceful shutdown exits with 0; without the halt the signal would set the exit code.
        Runtime.getRuntime().halt(0);
    }
}
