package ochretiller.remembered;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * What is remembered of one keyed invocation, beside its result.
 *
 * @param state how far it is known to have come
 * @param token the token that it came under
 * @param operation name of its operation
 * @param rid its name on the processor's link
 * @param body SHA-256 of what it asked for
 * @param markedAt when its run was about to begin, store's time in milliseconds
 * @param until repeats that arrive before this are tied to it, store's time in milliseconds
 */
public record Mark(
        State state,
        String token,
        String operation,
        String rid,
        byte[] body,
        long markedAt,
        long until) {
    /** How far one is known to have come. */
    public enum State {
        /** Its run may have begun; its end is unknown. */
        MARKED("MARKED"),
        /** It has succeeded, and its result is kept. */
        SUCCEEDED("SUCCEEDED"),
        /** It has ended without a result, and may have had its effect. */
        LOST("LOST");

        private final String externalName;

        State(String externalName) {
            this.externalName = externalName;
        }

        /**
         * The word by which {@code store list} names it; it stays whatever the constant is called.
         */
        public String externalName() {
            return externalName;
        }
    }

    /** Longest names, in bytes, that fit what a store holds in memory for each. */
    private static final int LONGEST_NAME = 100;

    private static final int HASH = 32;

    public Mark as(State next) {
        return new Mark(next, token, operation, rid, body, markedAt, until);
    }

    /** Whether names are short enough to be kept. */
    public static boolean fits(String operation, String rid) {
        return operation.length() <= LONGEST_NAME && rid.length() <= LONGEST_NAME / 2;
    }

    public byte[] key() {
        return token.getBytes(StandardCharsets.UTF_8);
    }

    /** All but the token, which is the key. */
    public byte[] meta() {
        byte[] name = operation.getBytes(StandardCharsets.UTF_8);
        byte[] id = rid.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + 16 + HASH + 2 + name.length + id.length)
                .put((byte) state.ordinal())
                .putLong(markedAt)
                .putLong(until)
                .put(body)
                .put((byte) name.length)
                .put(name)
                .put((byte) id.length)
                .put(id)
                .array();
    }

    /** What {@link #meta} has written, or null for bytes that it cannot have written. */
    public static Mark of(byte[] key, byte[] meta) {
        if (meta.length < 1 + 16 + HASH + 2 || meta[0] < 0 || meta[0] >= State.values().length) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(meta);
        State state = State.values()[in.get()];
        long markedAt = in.getLong();
        long until = in.getLong();
        byte[] body = new byte[HASH];
        in.get(body);
        String name = text(in);
        String id = name == null ? null : text(in);
        if (id == null || in.hasRemaining()) {
            return null;
        }
        return new Mark(
                state, new String(key, StandardCharsets.UTF_8), name, id, body, markedAt, until);
    }

    private static String text(ByteBuffer in) {
        int length = in.hasRemaining() ? in.get() & 0xFF : Integer.MAX_VALUE;
        if (length > in.remaining()) {
            return null;
        }
        byte[] text = new byte[length];
        in.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    public boolean sameBody(byte[] hash) {
        return Arrays.equals(body, hash);
    }
}
