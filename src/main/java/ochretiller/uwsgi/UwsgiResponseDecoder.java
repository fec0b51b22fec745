package ochretiller.uwsgi;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads what a worker answers on one connection: one answer, ended by its length or by the end of
 * the connection.
 */
public final class UwsgiResponseDecoder {
    private static final int LONGEST_HEAD = 16 * 1024;

    private final int longestBody;
    private byte[] all = {};
    private int filled;
    private int looked;
    private int bodyAt = -1;
    private int bodyLength = -1;
    private int status;
    private Map<String, String> headers;

    public UwsgiResponseDecoder(int longestBody) {
        this.longestBody = longestBody;
    }

    /**
     * The answer where it is whole, else null; bytes behind its end are a fault, since they are
     * nobody's.
     */
    public UwsgiResponse read(byte[] bytes, int from, int to) {
        int most = LONGEST_HEAD + longestBody;
        if (filled + to - from > most) {
            throw new UwsgiException(0, "an answer over " + most + " bytes");
        }
        if (all.length < filled + to - from) {
            all = Arrays.copyOf(all, Math.min(most, (filled + to - from) * 2));
        }
        System.arraycopy(bytes, from, all, filled, to - from);
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

    /** The connection has ended: the answer where it is whole by that, else null. */
    public UwsgiResponse ended() {
        return bodyAt >= 0 && bodyLength < 0 ? answer() : null;
    }

    private UwsgiResponse answer() {
        return new UwsgiResponse(status, headers, Arrays.copyOfRange(all, bodyAt, filled));
    }

    private void head() {
        int at = Math.max(0, looked - 3);
        while (at + 4 <= filled
                && !(all[at] == '\r'
                        && all[at + 1] == '\n'
                        && all[at + 2] == '\r'
                        && all[at + 3] == '\n')) {
            at++;
        }
        looked = filled;
        if (at + 4 > filled) {
            if (filled > LONGEST_HEAD) {
                throw new UwsgiException(0, "headers over " + LONGEST_HEAD + " bytes");
            }
            return;
        }
        String[] lines = new String(all, 0, at, StandardCharsets.ISO_8859_1).split("\r\n", -1);
        boolean line = lines[0].startsWith("HTTP/");
        if (line) {
            status = status(lines[0].substring(Math.min(lines[0].length(), 9)));
        }
        headers = new LinkedHashMap<>();
        for (int i = line ? 1 : 0; i < lines.length; i++) {
            header(lines[i]);
        }
        if (!line) {
            String said = headers.remove("status");
            if (said == null) {
                throw new UwsgiException(0, "an answer without a status");
            }
            status = status(said);
        }
        if (headers.containsKey("transfer-encoding")) {
            throw new UwsgiException(0, "an answer in chunks");
        }
        String length = headers.get("content-length");
        if (length != null) {
            bodyLength = length(length);
        }
        bodyAt = at + 4;
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
                || text.length() > 18
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
