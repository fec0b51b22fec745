package ochretiller.uwsgi;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Consumer;
import ochretiller.text.Slice;

/**
 * Decodes the requests of one connection, however the input is fragmented. It buffers at most one
 * request: up to 64 KiB of variables, and a body whose length is checked before a byte of it is
 * kept. Not safe for use by several threads.
 */
public final class UwsgiRequestDecoder {
    private static final int HEADER = 4;

    /** Modifier of a request. Other modifiers (spooling, code to run, reloads) are not served. */
    private static final int REQUEST = 0;

    /** Modifier of a ping. */
    private static final int PING = 100;

    /** Digits of a length that always fits a long. */
    private static final int MAX_DIGITS = 18;

    /** Least size of the buffer. */
    private static final int FIRST = 512;

    /** Size up to which the buffer is kept for the next request. */
    private static final int LAST = 8 * 1024;

    /** The part of a request that is being read. */
    private enum Part {
        HEADER,
        VARS,
        BODY
    }

    private final int longestBody;
    private Part part = Part.HEADER;
    private byte[] buffer = {};
    private int filled;
    private int need = HEADER;
    private Map<String, String> vars;

    /**
     * A decoder for one connection.
     *
     * @param longestBody bytes that a body may have
     */
    public UwsgiRequestDecoder(int longestBody) {
        this.longestBody = longestBody;
    }

    /** Whether a request has begun and is not complete. */
    public boolean within() {
        return part != Part.HEADER || filled > 0;
    }

    /**
     * Takes bytes as they were read.
     *
     * @param bytes the read buffer, which is not kept
     * @param from index of the first byte
     * @param to index after the last byte
     * @param request told of each request that is complete
     * @throws UwsgiException where the input is malformed. The connection has to be closed, since
     *     the beginning of the next request is unknown
     */
    public void read(byte[] bytes, int from, int to, Consumer<UwsgiRequest> request) {
        for (int at = from; at < to; ) {
            int take = Math.min(need - filled, to - at);
            keep(bytes, at, take);
            at += take;
            if (filled == need) {
                partComplete(request);
            }
        }
    }

    /** The buffer grows with what was received, not with the length that a peer announces. */
    private void keep(byte[] bytes, int at, int take) {
        if (buffer.length < filled + take) {
            buffer = Arrays.copyOf(buffer, Math.max(FIRST, Math.min(need, (filled + take) * 2)));
        }
        System.arraycopy(bytes, at, buffer, filled, take);
        filled += take;
    }

    private void partComplete(Consumer<UwsgiRequest> request) {
        switch (part) {
            case HEADER -> header(request);
            case VARS -> vars(request);
            case BODY -> end(request, new UwsgiRequest(vars, Arrays.copyOf(buffer, filled), false));
            default -> throw new IllegalStateException();
        }
    }

    private void next(Part then, int length) {
        part = then;
        need = length;
        filled = 0;
    }

    private void header(Consumer<UwsgiRequest> request) {
        int modifier = buffer[0] & 0xFF;
        int length = buffer[1] & 0xFF | (buffer[2] & 0xFF) << 8;
        if (modifier == PING && length == 0) {
            end(request, new UwsgiRequest(Map.of(), new byte[0], true));
            return;
        }
        if (modifier != REQUEST) {
            throw new UwsgiException(0, "modifier " + modifier + " is not served");
        }
        next(Part.VARS, length);
        if (length == 0) {
            vars(request);
        }
    }

    private void vars(Consumer<UwsgiRequest> request) {
        vars = UwsgiVariables.read(new Slice(buffer, 0, filled));
        next(Part.BODY, bodyLength(vars.get("CONTENT_LENGTH")));
        if (need == 0) {
            partComplete(request);
        }
    }

    private int bodyLength(String text) {
        if (text == null || text.isEmpty()) {
            return 0;
        }
        if (text.length() > MAX_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new UwsgiException(400, "CONTENT_LENGTH is no length");
        }
        long length = Long.parseLong(text);
        if (length > longestBody) {
            throw new UwsgiException(413, "a body of " + length + " bytes");
        }
        return (int) length;
    }

    private void end(Consumer<UwsgiRequest> request, UwsgiRequest whole) {
        vars = null;
        next(Part.HEADER, HEADER);
        if (buffer.length > LAST) {
            // One long request must not take its memory for as long as the connection lives.
            buffer = new byte[0];
        }
        request.accept(whole);
    }
}
