package ochretiller.text;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * A range of bytes in a read buffer, which must not be modified while the slice is in use.
 *
 * @param bytes the buffer
 * @param from index of the first byte
 * @param to index after the last byte
 */
public record Slice(byte[] bytes, int from, int to) {
    /** An empty slice. */
    public static final Slice EMPTY = new Slice(new byte[0], 0, 0);

    /** Returns a slice with the UTF-8 bytes of a text. */
    public static Slice of(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new Slice(bytes, 0, bytes.length);
    }

    /** Returns the number of bytes. */
    public int length() {
        return to - from;
    }

    /** Returns a copy of the bytes; unlike the slice, it does not retain the whole buffer. */
    public byte[] copy() {
        return Arrays.copyOfRange(bytes, from, to);
    }

    /** Returns the bytes decoded as ISO 8859-1, one char each. */
    public String text() {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    /** Returns the words of {@link #text}, split at each space; words may be empty. */
    public List<String> words() {
        return List.of(text().split(" ", -1));
    }
}
