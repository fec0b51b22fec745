package ochretiller.fleet.transport;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Encodes and decodes a frame of an operators' connection: a length in four bytes, a text of four
 * parts separated by line feeds, and a seal. Stateless.
 */
public final class SealedFrame {
    /** Longest frame in bytes that a server reads. */
    static final int MAX_REQUEST_BYTES = 64 * 1024;

    /** Longest frame in bytes that a command reads: the membership view of the largest fleet. */
    static final int MAX_RESPONSE_BYTES = 2 << 20;

    /** Bytes that have to be there before the length of a frame is known. */
    static final int LENGTH_PREFIX_BYTES = 4;

    private static final String SEPARATOR = "\n";
    private static final int PARTS = 4;

    private SealedFrame() {}

    /** Encodes and seals a message. */
    public static byte[] seal(FleetKeys keys, AdminMessage message) {
        byte[] text =
                String.join(
                                SEPARATOR,
                                message.fleet(),
                                message.challenge(),
                                message.command(),
                                message.text())
                        .getBytes(StandardCharsets.UTF_8);
        byte[] seal = keys.seal(text, text.length);
        int length = text.length + seal.length;
        ByteArrayOutputStream out = new ByteArrayOutputStream(LENGTH_PREFIX_BYTES + length);
        out.writeBytes(ByteBuffer.allocate(LENGTH_PREFIX_BYTES).putInt(length).array());
        out.writeBytes(text);
        out.writeBytes(seal);
        return out.toByteArray();
    }

    /**
     * Returns the length of the frame at the start of the bytes, including its prefix, or 0 as long
     * as the prefix is incomplete. A peer may state any length, also a negative one.
     */
    public static int length(byte[] bytes, int count) {
        if (count < LENGTH_PREFIX_BYTES) {
            return 0;
        }
        return LENGTH_PREFIX_BYTES + ByteBuffer.wrap(bytes).getInt();
    }

    /**
     * Checks and decodes a whole frame.
     *
     * @throws RejectedPacketException if it is too short, not authentic or malformed
     */
    public static AdminMessage open(FleetKeys keys, byte[] frame) throws RejectedPacketException {
        byte[] sealed = Arrays.copyOfRange(frame, LENGTH_PREFIX_BYTES, frame.length);
        int textLength = sealed.length - FleetKeys.SEAL_BYTES;
        if (textLength < 0) {
            throw new RejectedPacketException(RejectReason.LENGTH);
        }
        if (!keys.isAuthentic(sealed, textLength)) {
            throw new RejectedPacketException(RejectReason.FORGED);
        }
        String[] parts =
                new String(sealed, 0, textLength, StandardCharsets.UTF_8).split(SEPARATOR, PARTS);
        if (parts.length < PARTS) {
            throw new RejectedPacketException(RejectReason.MALFORMED);
        }
        return new AdminMessage(parts[0], parts[1], parts[2], parts[3]);
    }
}
