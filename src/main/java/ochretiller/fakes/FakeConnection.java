package ochretiller.fakes;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A blocking connection for text lines and counted bytes; a read times out after 10 seconds. */
public final class FakeConnection implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    /** Wraps a connected socket, which is closed with this connection. */
    public FakeConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(10_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a text in ISO 8859-1, one byte per char. */
    public FakeConnection send(String text) throws IOException {
        return send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends bytes; blocks while the receive buffer of the peer is full. */
    public FakeConnection send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /** Returns what one read delivers, at most {@code maxBytes} bytes; empty at end of input. */
    public String readAvailable(int maxBytes) throws IOException {
        byte[] bytes = new byte[maxBytes];
        return new String(bytes, 0, Math.max(0, in.read(bytes)), StandardCharsets.ISO_8859_1);
    }

    /** Removes the read timeout, for a fake service that reads until its peer closes. */
    void disableReadTimeout() throws IOException {
        socket.setSoTimeout(0);
    }

    /** Returns the next line without its line end, or null at the end of the connection. */
    public String readLine() throws IOException {
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
            return null; // a reset counts as the end
        }
        return line.toString();
    }

    /** Reads a text of {@code length} bytes and skips the line end after it. */
    public String readBytes(int length) throws IOException {
        String text = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        in.readNBytes(2); // CR and LF
        return text;
    }

    /** Writes a text repeatedly without reading; returns whether a write failed. */
    public boolean sendUntilClosed(String text, int times) {
        try {
            for (int i = 0; i < times; i++) {
                send(text);
            }
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Shuts down the output of the socket; input can still be read. */
    public void halfClose() throws IOException {
        socket.shutdownOutput();
    }

    /** Closes the connection with a TCP reset, as a crash of its machine does. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
