package ochretiller.text;

import java.util.Arrays;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;

/**
 * Cuts the input of one connection into lines, some of which are followed by a counted body and CR
 * LF. Input that is not complete is kept for the next read.
 */
public final class Frames {
    /** A line without a body. */
    public static final int NONE = -1;

    /** Bytes of a line besides its body. */
    private static final int MAX_LINE_OVERHEAD = 256;

    private static final int LINE_END_BYTES = 2;

    private final int longest;
    private final boolean strict;
    private final ToIntFunction<Slice> bodyLength;

    /** An incomplete message; once a slice was cut from the buffer, it is not written again. */
    private byte[] rest = Slice.EMPTY.bytes();

    private int filled;

    /** How many bytes of {@link #rest} were searched for the end of the line. */
    private int scanned;

    /** A buffer that is being cut: the next message begins at {@code at}. */
    private static final class Cursor {
        private final byte[] buffer;
        private final int end;
        private int at;
        private int scanned;

        Cursor(byte[] buffer, int at, int end, int scanned) {
            this.buffer = buffer;
            this.at = at;
            this.end = end;
            this.scanned = scanned;
        }

        /** The index of the next line feed, or the end. */
        int findLineFeed() {
            int index = scanned;
            while (index < end && buffer[index] != '\n') {
                index++;
            }
            return index;
        }
    }

    /**
     * Frames of one connection.
     *
     * @param longest bytes that a message or a body may have
     * @param strict whether lines must end in CR LF; otherwise LF alone is accepted, too
     * @param bodyLength the length of the body that follows a line, or {@link #NONE}
     */
    public Frames(int longest, boolean strict, ToIntFunction<Slice> bodyLength) {
        this.longest = longest;
        this.strict = strict;
        this.bodyLength = bodyLength;
    }

    /**
     * Takes bytes as they were read.
     *
     * @param bytes the read buffer, which must not be written while the slices are in use
     * @param from index of the first byte
     * @param to index after the last byte
     * @param message told of each complete message: its line without line end, and its body
     * @throws BadInputException where the input is malformed or too long
     */
    public void read(byte[] bytes, int from, int to, BiConsumer<Slice, Slice> message) {
        Cursor cursor = filled > 0 ? append(bytes, from, to) : new Cursor(bytes, from, to, from);
        boolean hasCut = false;
        while (cutMessage(cursor, message)) {
            hasCut = true;
        }
        if (cursor.end - cursor.at > longest + MAX_LINE_OVERHEAD) {
            throw new BadInputException("message over " + longest + " bytes");
        }
        keep(cursor, hasCut);
    }

    /** Whether a message has begun and is not complete. */
    public boolean within() {
        return filled > 0;
    }

    private Cursor append(byte[] bytes, int from, int to) {
        int length = filled + to - from;
        if (rest.length < length) {
            rest = Arrays.copyOf(rest, length * 2);
        }
        System.arraycopy(bytes, from, rest, filled, to - from);
        return new Cursor(rest, 0, length, scanned);
    }

    /** Passes on the next message; false where it is not complete. */
    private boolean cutMessage(Cursor cursor, BiConsumer<Slice, Slice> message) {
        int feed = cursor.findLineFeed();
        if (feed == cursor.end) {
            cursor.scanned = feed;
            return false;
        }
        Slice line = line(cursor.buffer, cursor.at, feed);
        int length = bodyLength.applyAsInt(line);
        if (length > longest) {
            throw new BadInputException("body of " + length + " bytes");
        }
        int next = feed + 1;
        Slice body = Slice.EMPTY;
        if (length >= 0) {
            if (cursor.end - next < length + LINE_END_BYTES) {
                cursor.scanned = feed; // the line is parsed again once its body has arrived
                return false;
            }
            body = body(cursor.buffer, next, length);
            next += length + LINE_END_BYTES;
        }
        message.accept(line, body);
        cursor.at = next;
        cursor.scanned = next;
        return true;
    }

    private Slice line(byte[] buffer, int at, int feed) {
        boolean hasReturn = feed > at && buffer[feed - 1] == '\r';
        if (strict && !hasReturn) {
            throw new BadInputException("line without CR LF");
        }
        return new Slice(buffer, at, hasReturn ? feed - 1 : feed);
    }

    private static Slice body(byte[] buffer, int from, int length) {
        int to = from + length;
        if (buffer[to] != '\r' || buffer[to + 1] != '\n') {
            throw new BadInputException("no line end behind a body of " + length + " bytes");
        }
        return new Slice(buffer, from, to);
    }

    private void keep(Cursor cursor, boolean hasCut) {
        if (cursor.buffer != rest || hasCut) {
            rest =
                    cursor.at == cursor.end
                            ? Slice.EMPTY.bytes()
                            : Arrays.copyOfRange(cursor.buffer, cursor.at, cursor.end);
        }
        filled = cursor.end - cursor.at;
        scanned = cursor.scanned - cursor.at;
    }
}
