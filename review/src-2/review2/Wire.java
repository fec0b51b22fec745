package review2;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Lines and counted bodies over a socket. */
final class Wire {
    final Socket socket;
    private final InputStream in;
    private final OutputStream out;

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = new BufferedOutputStream(socket.getOutputStream());
    }

    /** The next line without its end; null at the end of input. */
    String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                int length = text.length();
                return length > 0 && text.charAt(length - 1) == '\r'
                        ? text.substring(0, length - 1)
                        : text.toString();
            }
            text.append((char) c);
        }
        return null;
    }

    /** A body of this length and the CR LF behind it. */
    String body(int length) throws IOException {
        byte[] bytes = in.readNBytes(length + 2);
        if (bytes.length < length + 2) {
            throw new EOFException("half a body");
        }
        return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
    }

    synchronized void send(String text) throws IOException {
        out.write(Harness.bytes(text));
        out.flush();
    }
}
