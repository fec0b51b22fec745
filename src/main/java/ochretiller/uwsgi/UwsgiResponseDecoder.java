package ochretiller.uwsgi;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Decodes the response of a worker on one connection. It has the form of an HTTP response and ends
 * at its content length or at the end of the connection. The sizes of its head and its body are
 * limited. Not thread-safe.
 */
public final class UwsgiResponseDecoder {
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    /** Length of the empty line that ends the head, including the line break before it. */
    private static final int HEAD_END_BYTES = 4;

    private static final int UNKNOWN = -1;

    /** Length of {@code HTTP/1.1} and the space after it. */
    private static final int VERSION_CHARS = 9;

    /** Maximum digits of a length, so that it always fits a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private final int maxBodyBytes;
    private byte[] buffer = {};
    private int bufferedBytes;

    /** Number of bytes already searched for the end of the head. */
    private int searchedBytes;

    private int bodyOffset = UNKNOWN;
    private int bodyLength = UNKNOWN;
    private int status;
    private Map<String, String> headers;

    /**
     * Creates a decoder for one connection.
     *
     * @param maxBodyBytes maximum size of a response body
     */
    public UwsgiResponseDecoder(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Decodes bytes as they were received.
     *
     * @return the response once it is complete, else null
     * @throws UwsgiException if the response is malformed, too long or followed by more input
     */
    public UwsgiResponse decode(byte[] bytes, int from, int to) {
        int maxBytes = MAX_HEAD_BYTES + maxBodyBytes;
        if (bufferedBytes + to - from > maxBytes) {
            throw new UwsgiException(0, "response is longer than " + maxBytes + " bytes");
        }
        if (buffer.length < bufferedBytes + to - from) {
            buffer = Arrays.copyOf(buffer, Math.min(maxBytes, (bufferedBytes + to - from) * 2));
        }
        System.arraycopy(bytes, from, buffer, bufferedBytes, to - from);
        bufferedBytes += to - from;
        if (bodyOffset < 0) {
            decodeHead();
        }
        if (bodyOffset < 0 || bodyLength < 0 || bufferedBytes - bodyOffset < bodyLength) {
            return null;
        }
        if (bufferedBytes - bodyOffset > bodyLength) {
            throw new UwsgiException(
                    0, "response is longer than its content length of " + bodyLength + " bytes");
        }
        return response();
    }

    /**
     * Handles the end of the connection, which completes a response without a content length.
     *
     * @return the response, or null if it is incomplete
     */
    public UwsgiResponse finish() {
        return bodyOffset >= 0 && bodyLength < 0 ? response() : null;
    }

    private UwsgiResponse response() {
        return new UwsgiResponse(
                status, headers, Arrays.copyOfRange(buffer, bodyOffset, bufferedBytes));
    }

    private void decodeHead() {
        int end = findHeadEnd();
        if (end < 0) {
            if (bufferedBytes > MAX_HEAD_BYTES) {
                throw new UwsgiException(
                        0, "response headers are longer than " + MAX_HEAD_BYTES + " bytes");
            }
            return;
        }
        parseHead(new String(buffer, 0, end, StandardCharsets.ISO_8859_1).split("\r\n", -1));
        bodyOffset = end + HEAD_END_BYTES;
    }

    /** Returns the offset of the end of the head, or {@link #UNKNOWN}. */
    private int findHeadEnd() {
        int index = Math.max(0, searchedBytes - (HEAD_END_BYTES - 1));
        searchedBytes = bufferedBytes;
        for (; index + HEAD_END_BYTES <= bufferedBytes; index++) {
            if (buffer[index] == '\r'
                    && buffer[index + 1] == '\n'
                    && buffer[index + 2] == '\r'
                    && buffer[index + 3] == '\n') {
                return index;
            }
        }
        return UNKNOWN;
    }

    /** Parses a head with an HTTP status line or, as in CGI, a {@code Status} header. */
    private void parseHead(String[] lines) {
        boolean hasStatusLine = lines[0].startsWith("HTTP/");
        if (hasStatusLine) {
            status = parseStatus(lines[0].substring(Math.min(lines[0].length(), VERSION_CHARS)));
        }
        headers = new LinkedHashMap<>();
        for (int i = hasStatusLine ? 1 : 0; i < lines.length; i++) {
            parseHeader(lines[i]);
        }
        if (!hasStatusLine) {
            String value = headers.remove("status");
            if (value == null) {
                throw new UwsgiException(
                        0, "response has neither a status line nor a status header");
            }
            status = parseStatus(value);
        }
        if (headers.containsKey("transfer-encoding")) {
            throw new UwsgiException(0, "response has a transfer-encoding, which is not supported");
        }
        String length = headers.get("content-length");
        if (length != null) {
            bodyLength = parseLength(length);
        }
    }

    private void parseHeader(String line) {
        int colon = line.indexOf(':');
        if (colon < 1) {
            throw new UwsgiException(0, "response has a header line without a name");
        }
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = line.substring(colon + 1).trim();
        String previous = headers.put(name, value);
        if (previous == null || previous.equals(value)) {
            return;
        }
        if (name.equals("content-length") || name.equals("status")) {
            throw new UwsgiException(0, "response has two different values of " + name);
        }
        headers.put(name, previous + ", " + value);
    }

    private static int parseStatus(String text) {
        String code = text.trim();
        if (code.length() >= 3
                && code.substring(0, 3).chars().allMatch(c -> c >= '0' && c <= '9')
                && (code.length() == 3 || code.charAt(3) == ' ')) {
            int status = Integer.parseInt(code.substring(0, 3));
            if (status >= 100 && status < 600) {
                return status;
            }
        }
        throw new UwsgiException(0, "response status is not a three-digit number from 100 to 599");
    }

    private int parseLength(String text) {
        if (text.isEmpty()
                || text.length() > MAX_LENGTH_DIGITS
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new UwsgiException(
                    0, "response content-length is not a number of at most 18 digits");
        }
        long length = Long.parseLong(text);
        if (length > maxBodyBytes) {
            throw new UwsgiException(
                    0,
                    "response body of "
                            + length
                            + " bytes exceeds the limit of "
                            + maxBodyBytes
                            + " bytes");
        }
        return (int) length;
    }
}
