package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads lines with counted bodies, and writes them, as the pages for processor and records say. */
final class Lines {
    private Lines() {}

    /** Reads a line without its line end; null at the end of the input. */
    static String read(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body and the line end behind it. */
    static byte[] body(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length || in.readNBytes(2).length < 2) {
            throw new EOFException("a body was cut");
        }
        return body;
    }

    static byte[] message(String line, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            out.writeBytes(body);
            out.writeBytes(new byte[] {'\r', '\n'});
        }
        return out.toByteArray();
    }
}
