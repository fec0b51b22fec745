package ochretiller.node;

import java.lang.reflect.Proxy;
import java.util.logging.Logger;

/** Handles SIGHUP, which ends a JVM that has no handler for it. */
public final class ReloadSignal {
    private static final Logger LOG = Logger.getLogger(ReloadSignal.class.getName());
    private static final String HANDLER_METHOD = "handle";
    private static final String SIGNAL = "HUP";

    private ReloadSignal() {}

    /**
     * Runs {@code action} at each SIGHUP, on a thread of the JDK. The JDK's unsupported signal
     * types are loaded by name, since the compiler warns about each direct use.
     */
    public static void onHangup(Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object signal = signalType.getConstructor(String.class).newInstance(SIGNAL);
            Object previous =
                    signalType
                            .getMethod(HANDLER_METHOD, signalType, handlerType)
                            .invoke(null, signal, handler(handlerType, action));
            // If the parent process ignores SIGHUP, the JVM returns SIG_IGN and installs nothing.
            if (previous == handlerType.getField("SIG_IGN").get(null)) {
                LOG.warning(
                        "the parent process ignores SIGHUP: this server cannot reload its"
                                + " configuration");
            }
        } catch (ReflectiveOperationException e) {
            LOG.warning("cannot install a SIGHUP handler: SIGHUP terminates this server");
        }
    }

    private static Object handler(Class<?> handlerType, Runnable action) {
        Class<?>[] types = {handlerType};
        return Proxy.newProxyInstance(
                ReloadSignal.class.getClassLoader(),
                types,
                (proxy, method, arguments) -> {
                    if (method.getName().equals(HANDLER_METHOD)) {
                        action.run();
                    }
                    return null;
                });
    }
}
