package ochretiller.text;

import java.util.Arrays;
import java.util.function.BiConsumer;
import java.util.function.ToIntFunction;

/**
 * Splits the input of one connection into messages: lines, some of which are followed by a body of
 * a given length and CR LF. Buffers an incomplete message until the next read.
 */
public final class FrameDecoder {
    /** Returned by {@code bodyLength} for a line without a body. */
    public static final int NO_BODY = -1;

    /** Bytes that a message may have in addition to the maximum body. */
    private static final int MAX_LINE_OVERHEAD_BYTES = 256;

    private static final int LINE_END_BYTES = 2;

    private final int maxBytes;
    private final boolean requiresCrLf;
    private final ToIntFunction<Slice> bodyLength;

    /** Holds an incomplete message. Not modified after a slice of it has been passed on. */
    private byte[] rest = Slice.EMPTY.bytes();

    /** The number of bytes in {@link #rest} that are in use. */
    private int restLength;

    /** The number of bytes of {@link #rest} already searched for the end of the line. */
    private int scannedLength;

    /**
     * A position in a buffer that is being split: the next message begins at {@code at}, and its
     * line end is searched from {@code scanFrom}.
     */
    private static final class Cursor {
        private final byte[] buffer;
        private final int end;
        private int at;
        private int scanFrom;

        Cursor(byte[] buffer, int at, int end, int scanFrom) {
            this.buffer = buffer;
            this.at = at;
            this.end = end;
            this.scanFrom = scanFrom;
        }

        /** Returns the index of the next line feed, or {@code end} if there is none. */
        int findLineFeed() {
            int index = scanFrom;
            while (index < end && buffer[index] != '\n') {
                index++;
            }
            return index;
        }
    }

    /**
     * Creates a decoder for the input of one connection.
     *
     * @param maxBytes the maximum length of a line or a body, in bytes
     * @param requiresCrLf whether lines must end in CR LF; otherwise LF alone is also accepted
     * @param bodyLength returns the length of the body that follows a line, or {@link #NO_BODY}
     */
    public FrameDecoder(int maxBytes, boolean requiresCrLf, ToIntFunction<Slice> bodyLength) {
        this.maxBytes = maxBytes;
        this.requiresCrLf = requiresCrLf;
        this.bodyLength = bodyLength;
    }

    /**
     * Processes one read of input.
     *
     * @param bytes the read buffer, which must not be modified while the slices are in use
     * @param from index of the first byte
     * @param to index after the last byte
     * @param consumer receives each complete message: the line without its line end, and the body
     * @throws BadInputException if the input is malformed or too long
     */
    public void decode(byte[] bytes, int from, int to, BiConsumer<Slice, Slice> consumer) {
        Cursor cursor =
                restLength > 0 ? append(bytes, from, to) : new Cursor(bytes, from, to, from);
        boolean hasConsumed = false;
        while (consumeMessage(cursor, consumer)) {
            hasConsumed = true;
        }
        if (cursor.end - cursor.at > maxBytes + MAX_LINE_OVERHEAD_BYTES) {
            throw new BadInputException("message is longer than " + maxBytes + " bytes");
        }
        retainRest(cursor, hasConsumed);
    }

    /** Returns whether a message is partially received. */
    public boolean hasPartialMessage() {
        return restLength > 0;
    }

    /** Returns the memory, in bytes, that holds an incomplete message. */
    public int heldBytes() {
        return rest.length;
    }

    /** Discards an incomplete message. */
    public void discard() {
        rest = Slice.EMPTY.bytes();
        restLength = 0;
        scannedLength = 0;
    }

    private Cursor append(byte[] bytes, int from, int to) {
        int length = restLength + to - from;
        if (rest.length < length) {
            rest = Arrays.copyOf(rest, length * 2);
        }
        System.arraycopy(bytes, from, rest, restLength, to - from);
        return new Cursor(rest, 0, length, scannedLength);
    }

    /** Passes the next message to the consumer; returns false if it is not complete. */
    private boolean consumeMessage(Cursor cursor, BiConsumer<Slice, Slice> consumer) {
        int lineFeed = cursor.findLineFeed();
        if (lineFeed == cursor.end) {
            cursor.scanFrom = lineFeed;
            return false;
        }
        Slice line = line(cursor.buffer, cursor.at, lineFeed);
        int length = bodyLength.applyAsInt(line);
        if (length > maxBytes) {
            throw new BadInputException(
                    "body of " + length + " bytes is longer than " + maxBytes + " bytes");
        }
        int next = lineFeed + 1;
        Slice body = Slice.EMPTY;
        if (length >= 0) {
            if (cursor.end - next < length + LINE_END_BYTES) {
                cursor.scanFrom = lineFeed; // the line is parsed again when its body has arrived
                return false;
            }
            body = body(cursor.buffer, next, length);
            next += length + LINE_END_BYTES;
        }
        consumer.accept(line, body);
        cursor.at = next;
        cursor.scanFrom = next;
        return true;
    }

    private Slice line(byte[] buffer, int at, int lineFeed) {
        boolean hasReturn = lineFeed > at && buffer[lineFeed - 1] == '\r';
        if (requiresCrLf && !hasReturn) {
            throw new BadInputException("line does not end in CR LF");
        }
        return new Slice(buffer, at, hasReturn ? lineFeed - 1 : lineFeed);
    }

    private static Slice body(byte[] buffer, int from, int length) {
        int to = from + length;
        if (buffer[to] != '\r' || buffer[to + 1] != '\n') {
            throw new BadInputException("body of " + length + " bytes is not followed by CR LF");
        }
        return new Slice(buffer, from, to);
    }

    private void retainRest(Cursor cursor, boolean hasConsumed) {
        if (cursor.buffer != rest || hasConsumed) {
            rest =
                    cursor.at == cursor.end
                            ? Slice.EMPTY.bytes()
                            : Arrays.copyOfRange(cursor.buffer, cursor.at, cursor.end);
        }
        restLength = cursor.end - cursor.at;
        scannedLength = cursor.scanFrom - cursor.at;
    }
}
