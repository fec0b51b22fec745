package ochretiller.text;

import java.util.Arrays;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;

/**
 * Cuts what is read from one connection into lines, some of which are followed by a counted body.
 */
public final class Frames {
    /** A line without a body. */
    public static final int NONE = -1;

    private final int longest;
    private final boolean strict;
    private final ToIntFunction<Slice> bodyLength;

    /**
     * What is left of a message that is not whole yet; given up to the slices once one is cut from
     * it.
     */
    private byte[] rest = Slice.EMPTY.bytes();

    private int filled;
    private int scanned;

    /**
     * Frames of at most so many bytes.
     *
     * @param strict lines must end in CR LF, else LF alone will do
     * @param bodyLength the length of the body that follows a line, or {@link #NONE}
     */
    public Frames(int longest, boolean strict, ToIntFunction<Slice> bodyLength) {
        this.longest = longest;
        this.strict = strict;
        this.bodyLength = bodyLength;
    }

    /**
     * Hands over each whole message, line and body; the buffer belongs to the slices from here on.
     */
    public void read(byte[] bytes, int from, int to, BiConsumer<Slice, Slice> message) {
        byte[] buffer = bytes;
        int at = from;
        int end = to;
        int looked = from;
        if (filled > 0) {
            if (rest.length < filled + to - from) {
                rest = Arrays.copyOf(rest, (filled + to - from) * 2);
            }
            System.arraycopy(bytes, from, rest, filled, to - from);
            buffer = rest;
            at = 0;
            end = filled + to - from;
            looked = scanned;
        }
        boolean cut = false;
        while (true) {
            int feed = looked;
            while (feed < end && buffer[feed] != '\n') {
                feed++;
            }
            if (feed == end) {
                looked = feed;
                break;
            }
            Slice line = line(buffer, at, feed);
            int body = bodyLength.applyAsInt(line);
            if (body > longest) {
                throw new BadInputException("body of " + body + " bytes");
            }
            if (body >= 0 && end - feed - 1 < body + 2) {
                looked = feed; // the line is looked at again once its body is here
                break;
            }
            int next = feed + 1;
            Slice counted = Slice.EMPTY;
            if (body >= 0) {
                counted = new Slice(buffer, next, next + body);
                next += body + 2;
                if (buffer[next - 2] != '\r' || buffer[next - 1] != '\n') {
                    throw new BadInputException("no line end behind a body of " + body + " bytes");
                }
            }
            message.accept(line, counted);
            cut = true;
            at = looked = next;
        }
        if (end - at > longest + 256) {
            throw new BadInputException("message over " + longest + " bytes");
        }
        keep(buffer, at, end, looked, cut);
    }

    /** A message has begun and is not whole yet. */
    public boolean within() {
        return filled > 0;
    }

    private Slice line(byte[] buffer, int at, int feed) {
        boolean ended = feed > at && buffer[feed - 1] == '\r';
        if (strict && !ended) {
            throw new BadInputException("line without CR LF");
        }
        return new Slice(buffer, at, ended ? feed - 1 : feed);
    }

    private void keep(byte[] buffer, int at, int end, int looked, boolean cut) {
        if (buffer != rest || cut) {
            rest = at == end ? Slice.EMPTY.bytes() : Arrays.copyOfRange(buffer, at, end);
        }
        filled = end - at;
        scanned = looked - at;
    }
}
