package ochretiller.net;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.channels.SocketChannel;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * Shuts down the output of a connection while its input stays open (a TCP half-close). MINA has no
 * API for this, so the channel of the session is read by reflection.
 */
final class HalfClose {
    private static final Field CHANNEL = channelField();

    private HalfClose() {}

    private static Field channelField() {
        try {
            Field field = NioSession.class.getDeclaredField("channel");
            field.setAccessible(true);
            return field;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(
                    "NioSession has no accessible field 'channel': not the pinned MINA release", e);
        }
    }

    /**
     * Shuts down the output of a session whose writes have all been sent.
     *
     * @return false if the connection is already broken
     */
    static boolean shutDownOutput(IoSession session) {
        try {
            ((SocketChannel) CHANNEL.get(session)).shutdownOutput();
            return true;
        } catch (IOException e) {
            return false;
        } catch (IllegalAccessException e) {
            throw new IllegalStateException("field 'channel' of NioSession is not accessible", e);
        }
    }
}
