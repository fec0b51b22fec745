package ochretiller.node;

import java.util.logging.Logger;

/**
 * What signals do at each stage of a process: before there is a server, while it serves, behind its
 * end. It is installed before anything is read, so that no stage is left to the JVM's own ways,
 * which end a process at once.
 */
public final class ProcessLifecycle {
    private static final Logger LOG = Logger.getLogger(ProcessLifecycle.class.getName());

    /** Null until it is about to listen. */
    private ServerNode node;

    private boolean startFailed;
    private boolean reloads;

    /** Takes SIGHUP and SIGTERM from here on. */
    public static ProcessLifecycle install() {
        ProcessLifecycle mine = new ProcessLifecycle();
        ReloadSignal.onHangup(mine::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(mine::shutDown, "leave"));
        return mine;
    }

    /** The server is ready to listen: from here on the signals are its own. */
    public synchronized void serverReady(ServerNode ready) {
        node = ready;
        if (reloads) {
            node.reload(); // its configuration may have been read before the signal
        }
    }

    /** It could not be started: the exit code of that stays. */
    public synchronized void startFailed() {
        startFailed = true;
    }

    private void reload() {
        ServerNode now;
        synchronized (this) {
            now = node;
            reloads = true;
        }
        if (now != null) {
            now.reload();
        }
    }

    /** The JVM ends, for a signal or since its work is over. */
    private void shutDown() {
        ServerNode now;
        synchronized (this) {
            if (startFailed) {
                return;
            }
            // Guards against a start that goes on while it is told to leave: nothing was read, and
            // nothing is listened for.
            if (node == null) {
                Runtime.getRuntime().halt(0);
            }
            now = node;
        }
        try {
            now.drain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            LOG.warning("interrupted in its drain");
        }
        // The exit code of a drain is 0; without the halt it would be the signal's.
        Runtime.getRuntime().halt(0);
    }
}
