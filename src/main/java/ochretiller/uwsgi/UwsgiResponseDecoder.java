package ochretiller.uwsgi;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Decodes a worker's answer on one connection: one answer in HTTP's form, which ends with its
 * content length or with the connection. Bounded; not safe for use by several threads.
 */
public final class UwsgiResponseDecoder {
    private static final int LONGEST_HEAD = 16 * 1024;

    /** Bytes of the empty line that ends the head, with the line end before it. */
    private static final int HEAD_END = 4;

    private static final int UNKNOWN = -1;

    /** Characters of {@code HTTP/1.1} and the blank behind it. */
    private static final int VERSION_CHARS = 9;

    /** Digits of a length that always fits a long. */
    private static final int MAX_DIGITS = 18;

    private final int longestBody;
    private byte[] buffer = {};
    private int filled;

    /** How many bytes were searched for the end of the head. */
    private int searched;

    private int bodyAt = UNKNOWN;
    private int bodyLength = UNKNOWN;
    private int status;
    private Map<String, String> headers;

    /**
     * A decoder for one connection.
     *
     * @param longestBody bytes that a body may have
     */
    public UwsgiResponseDecoder(int longestBody) {
        this.longestBody = longestBody;
    }

    /**
     * Takes bytes as they were read.
     *
     * @return the answer once it is complete, else null
     * @throws UwsgiException where the answer is malformed or too long, or is followed by more
     */
    public UwsgiResponse read(byte[] bytes, int from, int to) {
        int most = LONGEST_HEAD + longestBody;
        if (filled + to - from > most) {
            throw new UwsgiException(0, "an answer over " + most + " bytes");
        }
        if (buffer.length < filled + to - from) {
            buffer = Arrays.copyOf(buffer, Math.min(most, (filled + to - from) * 2));
        }
        System.arraycopy(bytes, from, buffer, filled, to - from);
        filled += to - from;
        if (bodyAt < 0) {
            head();
        }
        if (bodyAt < 0 || bodyLength < 0 || filled - bodyAt < bodyLength) {
            return null;
        }
        if (filled - bodyAt > bodyLength) {
            throw new UwsgiException(0, "more than the answer's length");
        }
        return answer();
    }

    /**
     * The connection has ended, which completes an answer without a content length.
     *
     * @return the answer, or null where it is incomplete
     */
    public UwsgiResponse ended() {
        return bodyAt >= 0 && bodyLength < 0 ? answer() : null;
    }

    private UwsgiResponse answer() {
        return new UwsgiResponse(status, headers, Arrays.copyOfRange(buffer, bodyAt, filled));
    }

    private void head() {
        int end = findHeadEnd();
        if (end < 0) {
            if (filled > LONGEST_HEAD) {
                throw new UwsgiException(0, "headers over " + LONGEST_HEAD + " bytes");
            }
            return;
        }
        parseHead(new String(buffer, 0, end, StandardCharsets.ISO_8859_1).split("\r\n", -1));
        bodyAt = end + HEAD_END;
    }

    /** Where the head ends, or {@link #UNKNOWN}. */
    private int findHeadEnd() {
        int at = Math.max(0, searched - (HEAD_END - 1));
        searched = filled;
        for (; at + HEAD_END <= filled; at++) {
            if (buffer[at] == '\r'
                    && buffer[at + 1] == '\n'
                    && buffer[at + 2] == '\r'
                    && buffer[at + 3] == '\n') {
                return at;
            }
        }
        return UNKNOWN;
    }

    /** Workers send a status line, as in HTTP, or a header {@code Status}, as in CGI. */
    private void parseHead(String[] lines) {
        boolean hasStatusLine = lines[0].startsWith("HTTP/");
        if (hasStatusLine) {
            status = status(lines[0].substring(Math.min(lines[0].length(), VERSION_CHARS)));
        }
        headers = new LinkedHashMap<>();
        for (int i = hasStatusLine ? 1 : 0; i < lines.length; i++) {
            header(lines[i]);
        }
        if (!hasStatusLine) {
            String value = headers.remove("status");
            if (value == null) {
                throw new UwsgiException(0, "an answer without a status");
            }
            status = status(value);
        }
        if (headers.containsKey("transfer-encoding")) {
            throw new UwsgiException(0, "an answer in chunks");
        }
        String length = headers.get("content-length");
        if (length != null) {
            bodyLength = length(length);
        }
    }

    private void header(String line) {
        int colon = line.indexOf(':');
        if (colon < 1) {
            throw new UwsgiException(0, "a header without a name");
        }
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = line.substring(colon + 1).trim();
        String before = headers.put(name, value);
        if (before == null || before.equals(value)) {
            return;
        }
        if (name.equals("content-length") || name.equals("status")) {
            throw new UwsgiException(0, "two values of " + name);
        }
        headers.put(name, before + ", " + value);
    }

    private static int status(String text) {
        String code = text.trim();
        if (code.length() >= 3
                && code.substring(0, 3).chars().allMatch(c -> c >= '0' && c <= '9')
                && (code.length() == 3 || code.charAt(3) == ' ')) {
            int status = Integer.parseInt(code.substring(0, 3));
            if (status >= 100 && status < 600) {
                return status;
            }
        }
        throw new UwsgiException(0, "no status");
    }

    private int length(String text) {
        if (text.isEmpty()
                || text.length() > MAX_DIGITS
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new UwsgiException(0, "content-length is no length");
        }
        long length = Long.parseLong(text);
        if (length > longestBody) {
            throw new UwsgiException(0, "an answer of " + length + " bytes");
        }
        return (int) length;
    }
}
