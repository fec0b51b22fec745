package ochretiller.fleet.transport;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Encodes and decodes a frame of an admin connection: a length of four bytes, four text fields
 * separated by line feeds, and a seal. Stateless.
 */
public final class SealedFrame {
    /** Maximum length of a request frame in bytes. */
    static final int MAX_REQUEST_BYTES = 64 * 1024;

    /** Maximum length of a response frame in bytes: fits the largest fleet's membership view. */
    static final int MAX_RESPONSE_BYTES = 2 << 20;

    /** Size in bytes of the length at the start of a frame. */
    static final int LENGTH_PREFIX_BYTES = 4;

    private static final String SEPARATOR = "\n";
    private static final int FIELD_COUNT = 4;

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
     * Returns the length in bytes of the frame at the start of the buffer, including its prefix, or
     * 0 if the prefix is incomplete. The length comes from the peer and may be negative.
     */
    public static int frameLength(byte[] bytes, int count) {
        if (count < LENGTH_PREFIX_BYTES) {
            return 0;
        }
        return LENGTH_PREFIX_BYTES + ByteBuffer.wrap(bytes).getInt();
    }

    /**
     * Verifies and decodes a complete frame.
     *
     * @throws RejectedPacketException if it is too short, not authentic or malformed
     */
    public static AdminMessage open(FleetKeys keys, byte[] frame) throws RejectedPacketException {
        byte[] sealed = Arrays.copyOfRange(frame, LENGTH_PREFIX_BYTES, frame.length);
        int textLength = sealed.length - FleetKeys.SEAL_BYTES;
        if (textLength < 0) {
            throw new RejectedPacketException(RejectReason.INVALID_LENGTH);
        }
        if (!keys.isAuthentic(sealed, textLength)) {
            throw new RejectedPacketException(RejectReason.INVALID_SEAL);
        }
        String[] fields =
                new String(sealed, 0, textLength, StandardCharsets.UTF_8)
                        .split(SEPARATOR, FIELD_COUNT);
        if (fields.length < FIELD_COUNT) {
            throw new RejectedPacketException(RejectReason.MALFORMED);
        }
        return new AdminMessage(fields[0], fields[1], fields[2], fields[3]);
    }
}
