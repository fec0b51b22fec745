package ochretiller.text;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * A part of a read buffer, which is never written again.
 *
 * @param bytes the buffer
 * @param from index of the first byte
 * @param to index after the last byte
 */
public record Slice(byte[] bytes, int from, int to) {
    /** A slice without bytes. */
    public static final Slice EMPTY = new Slice(new byte[0], 0, 0);

    /** The bytes of a text in UTF-8. */
    public static Slice of(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new Slice(bytes, 0, bytes.length);
    }

    /** The number of bytes. */
    public int length() {
        return to - from;
    }

    /** A copy of the bytes, for what outlives the buffer: a slice keeps all of it in memory. */
    public byte[] copy() {
        return Arrays.copyOfRange(bytes, from, to);
    }

    /** The bytes as text in ISO 8859-1, one char each. */
    public String text() {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** The words of {@link #text} between single blanks; some may be empty. */
    public List<String> words() {
        return List.of(text().split(" ", -1));
    }
}
