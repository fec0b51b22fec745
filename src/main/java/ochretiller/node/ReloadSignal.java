package ochretiller.node;

import java.lang.reflect.Proxy;
import java.util.logging.Logger;

/** SIGHUP, which ends a JVM that has no handler for it. */
public final class ReloadSignal {
    private static final Logger LOG = Logger.getLogger(ReloadSignal.class.getName());

    private ReloadSignal() {}

    /**
     * Runs {@code work} at each signal, on a thread of the JDK's. Its types are found by name: no
     * use compiles unwarned.
     */
    public static void onHangup(Runnable work) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object mine =
                    Proxy.newProxyInstance(
                            ReloadSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    work.run();
                                }
                                return null;
                            });
            Object before =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance("HUP"),
                                    mine);
            // The JVM says so and installs nothing.
            if (before == handler.getField("SIG_IGN").get(null)) {
                LOG.warning(
                        "SIGHUP is ignored by whoever started this server: it takes no new"
                                + " configuration");
            }
        } catch (ReflectiveOperationException e) {
            LOG.warning("SIGHUP ends this server: the JDK gives no handler for it");
        }
    }
}
