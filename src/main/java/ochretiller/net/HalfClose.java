package ochretiller.net;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.channels.SocketChannel;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * Ends what is written on a connection while it is still read: MINA has no word for that, the
 * channel under it has.
 */
final class HalfClose {
    private static final Field CHANNEL = channel();

    private HalfClose() {}

    private static Field channel() {
        try {
            Field field = NioSession.class.getDeclaredField("channel");
            field.setAccessible(true);
            return field;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(
                    "another release of MINA than the one that is pinned", e);
        }
    }

    /** All that was written has gone out; false where the connection is no more. */
    static boolean end(IoSession session) {
        try {
            ((SocketChannel) CHANNEL.get(session)).shutdownOutput();
            return true;
        } catch (IOException e) {
            return false;
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }
}
