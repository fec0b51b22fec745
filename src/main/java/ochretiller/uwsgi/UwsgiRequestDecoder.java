package ochretiller.uwsgi;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Consumer;
import ochretiller.text.Slice;

/**
 * Cuts what is read from one connection into requests, in whatever pieces it comes. It holds one
 * request at most: its variables (64 KiB by the protocol) and a body whose length is checked before
 * a byte of it is kept.
 */
public final class UwsgiRequestDecoder {
    private static final int HEADER = 4;

    /** A request, and a ping; others (spooling, code to run, reloads) are nobody's to send here. */
    private static final int REQUEST = 0;

    private static final int PING = 100;

    /**
     * Least room that is taken for what comes in pieces, and most that is kept from one request to
     * the next.
     */
    private static final int FIRST = 512;

    private static final int LAST = 8 * 1024;

    /** What is being read. */
    private enum Part {
        HEADER,
        VARS,
        BODY
    }

    private final int longestBody;
    private Part part = Part.HEADER;
    private byte[] rest = {};
    private int filled;
    private int need = HEADER;
    private Map<String, String> vars;

    public UwsgiRequestDecoder(int longestBody) {
        this.longestBody = longestBody;
    }

    /** Whether a request has begun and is not whole: an end now cuts it. */
    public boolean within() {
        return part != Part.HEADER || filled > 0;
    }

    /**
     * Hands over each request once it is whole. Behind an {@link UwsgiException} the connection has
     * to end: where the next request begins is not known.
     */
    public void read(byte[] bytes, int from, int to, Consumer<UwsgiRequest> request) {
        for (int at = from; at < to; ) {
            int take = Math.min(need - filled, to - at);
            keep(bytes, at, take);
            at += take;
            if (filled == need) {
                whole(request);
            }
        }
    }

    /** Room grows with what has come, not with what a length promises. */
    private void keep(byte[] bytes, int at, int take) {
        if (rest.length < filled + take) {
            rest = Arrays.copyOf(rest, Math.max(FIRST, Math.min(need, (filled + take) * 2)));
        }
        System.arraycopy(bytes, at, rest, filled, take);
        filled += take;
    }

    private void whole(Consumer<UwsgiRequest> request) {
        switch (part) {
            case HEADER -> header(request);
            case VARS -> vars(request);
            case BODY -> end(request, new UwsgiRequest(vars, Arrays.copyOf(rest, filled), false));
            default -> throw new IllegalStateException();
        }
    }

    private void next(Part then, int length) {
        part = then;
        need = length;
        filled = 0;
    }

    private void header(Consumer<UwsgiRequest> request) {
        int modifier = rest[0] & 0xFF;
        int length = rest[1] & 0xFF | (rest[2] & 0xFF) << 8;
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
        vars = UwsgiVariables.read(new Slice(rest, 0, filled));
        next(Part.BODY, bodyLength(vars.get("CONTENT_LENGTH")));
        if (need == 0) {
            whole(request);
        }
    }

    private int bodyLength(String text) {
        if (text == null || text.isEmpty()) {
            return 0;
        }
        if (text.length() > 18 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
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
        if (rest.length > LAST) {
            rest = new byte[0]; // one long request must not keep its room for as long as the
            // connection
        }
        request.accept(whole);
    }
}
