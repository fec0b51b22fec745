package ochretiller.fleet.transport;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A frame on a stream of the operators' commands: its length in four bytes, text, a seal. The text
 * begins with the fleet's name, a challenge that the server draws for each connection, and a word,
 * each to the end of its line, so that a frame that was heard once is of no use on another
 * connection.
 */
public final class SealedFrame {
    /**
     * Longest frame that a server reads, and longest that a command reads: a view of the largest
     * fleet.
     */
    static final int MAX_REQUEST_BYTES = 64 * 1024;

    static final int MAX_RESPONSE_BYTES = 2 << 20;
    private static final int LENGTH_PREFIX_BYTES = 4;

    private SealedFrame() {}

    /** What a frame says. */
    public record AdminMessage(String fleet, String challenge, String word, String text) {}

    public static byte[] seal(FleetKeys keys, AdminMessage said) {
        byte[] text =
                String.join("\n", said.fleet, said.challenge, said.word, said.text)
                        .getBytes(StandardCharsets.UTF_8);
        byte[] seal = keys.seal(text, text.length);
        ByteArrayOutputStream out =
                new ByteArrayOutputStream(LENGTH_PREFIX_BYTES + text.length + seal.length);
        out.writeBytes(
                ByteBuffer.allocate(LENGTH_PREFIX_BYTES).putInt(text.length + seal.length).array());
        out.writeBytes(text);
        out.writeBytes(seal);
        return out.toByteArray();
    }

    /**
     * How many bytes the frame at the start has, its length among them; 0 while that cannot be
     * told.
     */
    public static int length(byte[] bytes, int count) {
        return count < LENGTH_PREFIX_BYTES
                ? 0
                : LENGTH_PREFIX_BYTES + ByteBuffer.wrap(bytes).getInt();
    }

    /** The content of a whole frame. */
    public static AdminMessage open(FleetKeys keys, byte[] frame) throws RejectedPacketException {
        byte[] body = Arrays.copyOfRange(frame, LENGTH_PREFIX_BYTES, frame.length);
        if (body.length < FleetKeys.SEAL_BYTES) {
            throw new RejectedPacketException(RejectReason.LENGTH);
        }
        if (!keys.isAuthentic(body, body.length - FleetKeys.SEAL_BYTES)) {
            throw new RejectedPacketException(RejectReason.FORGED);
        }
        String[] parts =
                new String(body, 0, body.length - FleetKeys.SEAL_BYTES, StandardCharsets.UTF_8)
                        .split("\n", 4);
        if (parts.length < 4) {
            throw new RejectedPacketException(RejectReason.MALFORMED);
        }
        return new AdminMessage(parts[0], parts[1], parts[2], parts[3]);
    }
}
