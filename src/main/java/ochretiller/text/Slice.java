package ochretiller.text;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** A part of a buffer that was read; the buffer is never written to again. */
public record Slice(byte[] bytes, int from, int to) {
    public static final Slice EMPTY = new Slice(new byte[0], 0, 0);

    public static Slice of(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new Slice(bytes, 0, bytes.length);
    }

    public int length() {
        return to - from;
    }

    /** For what must outlive the buffer: a small slice must not hold a large one. */
    public byte[] copy() {
        return Arrays.copyOfRange(bytes, from, to);
    }

    /** The text of a line whose words are ASCII; other bytes are kept apart one by one. */
    public String text() {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    public List<String> words() {
        return List.of(text().split(" ", -1));
    }
}
