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
     * Has {@code action} run at each signal, on a thread of the JDK. The JDK's unsupported signal
     * types are found by name, since any direct use of them is a compiler warning.
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
            // A signal that the parent process ignores stays ignored: the JVM returns this and
            // installs nothing.
            if (previous == handlerType.getField("SIG_IGN").get(null)) {
                LOG.warning(
                        "SIGHUP is ignored by whoever started this server: it takes no new"
                                + " configuration");
            }
        } catch (ReflectiveOperationException e) {
            LOG.warning("SIGHUP ends this server: the JDK gives no handler for it");
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
