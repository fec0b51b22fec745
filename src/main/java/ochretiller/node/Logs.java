package ochretiller.node;

import java.util.logging.LogManager;

/** Logging that goes on through the drain: the standard manager closes all handlers as soon as SIGTERM comes. */
public final class Logs {
    private Logs() {
    }

    /** To be called before anything is logged; this class must not itself be a manager, or it would come too late. */
    public static void install() {
        System.setProperty("java.util.logging.manager", Kept.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tLZ %4$s %5$s%6$s%n");
    }

    /** Found by its name. */
    public static final class Kept extends LogManager {
        @Override
        public void reset() {
            // Nothing is taken down: the process ends by itself once the drain is over.
        }
    }
}
