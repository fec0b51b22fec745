package ochretiller.uwsgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A response with status line, headers and body as in HTTP.
 *
 * @param status the HTTP status
 * @param headers by name, written in the given case; {@link #encode} sets those that delimit the
 *     body
 * @param body the bytes of the body
 */
public record UwsgiResponse(int status, Map<String, String> headers, byte[] body) {
    private static final byte[] PONG = {100, 0, 0, 0};

    private static final Map<Integer, String> REASONS =
            Map.ofEntries(
                    Map.entry(200, "OK"),
                    Map.entry(400, "Bad Request"),
                    Map.entry(404, "Not Found"),
                    Map.entry(409, "Conflict"),
                    Map.entry(413, "Content Too Large"),
                    Map.entry(422, "Unprocessable Content"),
                    Map.entry(500, "Internal Server Error"),
                    Map.entry(503, "Service Unavailable"),
                    Map.entry(504, "Gateway Timeout"));

    /** Returns the packet that answers a ping. */
    public static byte[] pong() {
        return PONG.clone();
    }

    /** Returns status line, headers and body; the sender closes the connection afterwards. */
    public byte[] encode() {
        StringBuilder head =
                new StringBuilder(128)
                        .append("HTTP/1.1 ")
                        .append(status)
                        .append(' ')
                        .append(REASONS.getOrDefault(status, "Status"))
                        .append("\r\n");
        Map<String, String> allHeaders = new LinkedHashMap<>(headers);
        allHeaders
                .keySet()
                .removeIf(
                        name ->
                                name.equalsIgnoreCase("content-length")
                                        || name.equalsIgnoreCase("connection")
                                        || name.equalsIgnoreCase("transfer-encoding"));
        allHeaders.put("Content-Length", "" + body.length);
        allHeaders.put("Connection", "close");
        allHeaders.forEach(
                (name, value) ->
                        head.append(sanitize(name))
                                .append(": ")
                                .append(sanitize(value))
                                .append("\r\n"));
        ByteArrayOutputStream out = new ByteArrayOutputStream(head.length() + 2 + body.length);
        out.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }

    /** Replaces line breaks and NUL, with which text from a peer could start another header. */
    private static String sanitize(String text) {
        return text.replaceAll("[\\r\\n\\x00]", " ");
    }
}
