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
    static final int LONGEST_WORD = 64 * 1024;

    static final int LONGEST_ANSWER = 2 << 20;
    private static final int LENGTH = 4;

    private SealedFrame() {}

    /** What a frame says. */
    public record Said(String fleet, String challenge, String word, String text) {}

    public static byte[] frame(FleetKeys keys, Said said) {
        byte[] text =
                String.join("\n", said.fleet, said.challenge, said.word, said.text)
                        .getBytes(StandardCharsets.UTF_8);
        byte[] seal = keys.seal(text, text.length);
        ByteArrayOutputStream out = new ByteArrayOutputStream(LENGTH + text.length + seal.length);
        out.writeBytes(ByteBuffer.allocate(LENGTH).putInt(text.length + seal.length).array());
        out.writeBytes(text);
        out.writeBytes(seal);
        return out.toByteArray();
    }

    /**
     * How many bytes the frame at the start has, its length among them; 0 while that cannot be
     * told.
     */
    public static int length(byte[] bytes, int count) {
        return count < LENGTH ? 0 : LENGTH + ByteBuffer.wrap(bytes).getInt();
    }

    /** The content of a whole frame. */
    public static Said open(FleetKeys keys, byte[] frame) throws RejectedPacketException {
        byte[] body = Arrays.copyOfRange(frame, LENGTH, frame.length);
        if (body.length < FleetKeys.SEAL) {
            throw new RejectedPacketException(RejectReason.LENGTH);
        }
        if (!keys.good(body, body.length - FleetKeys.SEAL)) {
            throw new RejectedPacketException(RejectReason.FORGED);
        }
        String[] parts =
                new String(body, 0, body.length - FleetKeys.SEAL, StandardCharsets.UTF_8)
                        .split("\n", 4);
        if (parts.length < 4) {
            throw new RejectedPacketException(RejectReason.MALFORMED);
        }
        return new Said(parts[0], parts[1], parts[2], parts[3]);
    }
}
