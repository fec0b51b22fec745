package ochretiller.fakes;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A socket of a stand-in: text lines and counted bytes, all within a bounded time. */
public final class FakeConnection implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    public FakeConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(10_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public FakeConnection send(String text) throws IOException {
        return send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public FakeConnection send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /** The next bytes, as many as there are at first, and this many at most. */
    public String some(int most) throws IOException {
        byte[] bytes = new byte[most];
        return new String(bytes, 0, Math.max(0, in.read(bytes)), StandardCharsets.ISO_8859_1);
    }

    /** Waits as long as it takes: a stand-in that listens is told when it is over. */
    void patient() throws IOException {
        socket.setSoTimeout(0);
    }

    /** The next line without its end, or null once the connection has ended. */
    public String line() throws IOException {
        StringBuilder line = new StringBuilder();
        try {
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    return null;
                }
                if (c != '\r') {
                    line.append((char) c);
                }
            }
        } catch (SocketException e) {
            return null; // a reset ends it too
        }
        return line.toString();
    }

    public String bytes(int length) throws IOException {
        String text = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        in.readNBytes(2);
        return text;
    }

    /** Writes without reading; tells whether the peer ended it for that. */
    public boolean sendsUntilItEnds(String text, int times) {
        try {
            for (int i = 0; i < times; i++) {
                send(text);
            }
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    public void halfClose() throws IOException {
        socket.shutdownOutput();
    }

    /** Ends it with a reset, as a broken machine does. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
