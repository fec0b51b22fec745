package ochretiller.uwsgi;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Consumer;
import ochretiller.text.Slice;

/**
 * Decodes the requests of one connection from input in arbitrary fragments. Buffers at most one
 * request: up to 64 KiB of variables, and a body whose length is checked before any of it is
 * buffered. Not thread-safe.
 */
public final class UwsgiRequestDecoder {
    private static final int HEADER_BYTES = 4;

    /** Modifier of a request. Others (spooling, code execution, reloads) are not supported. */
    private static final int REQUEST_MODIFIER = 0;

    /** Modifier of a ping. */
    private static final int PING_MODIFIER = 100;

    /** Maximum digits of a length, so that it always fits a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    /** Initial size of the buffer. */
    private static final int MIN_BUFFER_BYTES = 512;

    /** The part of a request that is read next. */
    private enum Part {
        HEADER,
        VARS,
        BODY
    }

    private final int maxBodyBytes;
    private Part part = Part.HEADER;
    private byte[] buffer = {};
    private int bufferedBytes;
    private int partLength = HEADER_BYTES;
    private Map<String, String> vars;

    /**
     * Creates a decoder for one connection.
     *
     * @param maxBodyBytes maximum size of a request body
     */
    public UwsgiRequestDecoder(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns whether a request is partially received. */
    public boolean hasPartialRequest() {
        return part != Part.HEADER || bufferedBytes > 0;
    }

    /** Returns the memory, in bytes, that holds an incomplete request. */
    public long heldBytes() {
        return buffer.length + (vars == null ? 0 : UwsgiVariables.heldBytes(vars));
    }

    /** Discards an incomplete request; nothing may be decoded afterwards. */
    public void discard() {
        buffer = new byte[0];
        vars = null;
        startPart(Part.HEADER, HEADER_BYTES);
    }

    /**
     * Decodes bytes as they were received.
     *
     * @param bytes the read buffer, which is not retained
     * @param from index of the first byte
     * @param to index after the last byte
     * @param consumer is passed each complete request
     * @throws UwsgiException if the input is malformed. The connection must be closed, because the
     *     start of the next request is unknown
     */
    public void decode(byte[] bytes, int from, int to, Consumer<UwsgiRequest> consumer) {
        for (int offset = from; offset < to; ) {
            int count = Math.min(partLength - bufferedBytes, to - offset);
            append(bytes, offset, count);
            offset += count;
            if (bufferedBytes == partLength) {
                onPartComplete(consumer);
            }
        }
    }

    /** Grows the buffer with the bytes received, not with the length that the peer announces. */
    private void append(byte[] bytes, int offset, int count) {
        if (buffer.length < bufferedBytes + count) {
            buffer =
                    Arrays.copyOf(
                            buffer,
                            Math.max(
                                    MIN_BUFFER_BYTES,
                                    Math.min(partLength, (bufferedBytes + count) * 2)));
        }
        System.arraycopy(bytes, offset, buffer, bufferedBytes, count);
        bufferedBytes += count;
    }

    private void onPartComplete(Consumer<UwsgiRequest> consumer) {
        switch (part) {
            case HEADER -> parseHeader(consumer);
            case VARS -> parseVariables(consumer);
            case BODY ->
                    deliver(
                            consumer,
                            new UwsgiRequest(vars, Arrays.copyOf(buffer, bufferedBytes), false));
            default -> throw new IllegalStateException();
        }
    }

    private void startPart(Part next, int length) {
        part = next;
        partLength = length;
        bufferedBytes = 0;
    }

    private void parseHeader(Consumer<UwsgiRequest> consumer) {
        int modifier = buffer[0] & 0xFF;
        int length = buffer[1] & 0xFF | (buffer[2] & 0xFF) << 8;
        if (modifier == PING_MODIFIER && length == 0) {
            deliver(consumer, new UwsgiRequest(Map.of(), new byte[0], true));
            return;
        }
        if (modifier != REQUEST_MODIFIER) {
            throw new UwsgiException(
                    0, "modifier " + modifier + " with length " + length + " is not supported");
        }
        startPart(Part.VARS, length);
        if (length == 0) {
            parseVariables(consumer);
        }
    }

    private void parseVariables(Consumer<UwsgiRequest> consumer) {
        vars = UwsgiVariables.decode(new Slice(buffer, 0, bufferedBytes));
        startPart(Part.BODY, parseBodyLength(vars.get("CONTENT_LENGTH")));
        if (partLength == 0) {
            onPartComplete(consumer);
        }
    }

    private int parseBodyLength(String text) {
        if (text == null || text.isEmpty()) {
            return 0;
        }
        if (text.length() > MAX_LENGTH_DIGITS
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new UwsgiException(400, "CONTENT_LENGTH is no length");
        }
        long length = Long.parseLong(text);
        if (length > maxBodyBytes) {
            throw new UwsgiException(413, "a body of " + length + " bytes");
        }
        return (int) length;
    }

    private void deliver(Consumer<UwsgiRequest> consumer, UwsgiRequest request) {
        vars = null;
        startPart(Part.HEADER, HEADER_BYTES);
        buffer = new byte[0]; // a request must not occupy memory until the connection is closed
        consumer.accept(request);
    }
}
