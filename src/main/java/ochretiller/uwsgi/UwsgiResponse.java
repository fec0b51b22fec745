package ochretiller.uwsgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An answer in HTTP's form.
 *
 * @param status the HTTP status
 * @param headers by name as written; those that delimit the answer are added by {@link #encode}
 * @param body the body's bytes
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

    /** The bytes of the reply to a ping. */
    public static byte[] pong() {
        return PONG.clone();
    }

    /** The bytes of status line, headers and body; the connection is closed after them. */
    public byte[] encode() {
        StringBuilder head =
                new StringBuilder(128)
                        .append("HTTP/1.1 ")
                        .append(status)
                        .append(' ')
                        .append(REASONS.getOrDefault(status, "Status"))
                        .append("\r\n");
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.keySet()
                .removeIf(
                        name ->
                                name.equalsIgnoreCase("content-length")
                                        || name.equalsIgnoreCase("connection")
                                        || name.equalsIgnoreCase("transfer-encoding"));
        all.put("Content-Length", "" + body.length);
        all.put("Connection", "close");
        all.forEach(
                (name, value) ->
                        head.append(clean(name)).append(": ").append(clean(value)).append("\r\n"));
        ByteArrayOutputStream out = new ByteArrayOutputStream(head.length() + 2 + body.length);
        out.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }

    /** Removes line ends, with which a text of a peer could begin another header. */
    private static String clean(String text) {
        return text.replaceAll("[\\r\\n\\x00]", " ");
    }
}
