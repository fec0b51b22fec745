package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MembershipPacket;

/**
 * Encodes and decodes the envelope of a packet as {@code docs/fleet-wire.md} defines it: magic
 * bytes, versions, length, a CBOR array with the message, and a seal (HMAC). The codec of each
 * message family encodes the message bodies.
 *
 * <p>Thread-safe.
 */
public final class PacketCodec {
    /** Protocol version of sent packets, and the minimum version that a receiver needs. */
    static final int PROTOCOL_VERSION = 1;

    /** Maximum length of a packet in bytes: fits a page of members with the longest names. */
    public static final int MAX_PACKET_BYTES = 8 * 1024;

    private static final byte FIRST_MAGIC_BYTE = 'O';
    private static final byte SECOND_MAGIC_BYTE = 'F';
    private static final int MIN_VERSION_OFFSET = 3;
    private static final int LENGTH_OFFSET = 4;
    private static final int HEADER_BYTES = 6;
    private static final int ENVELOPE_FIELDS = 6;
    private static final int TYPICAL_PACKET_BYTES = 512;
    private static final long NO_EPOCH = 0;
    private static final CBORFactory CBOR = new CBORFactory();

    private final String fleetName;
    private volatile FleetKeys keys;

    /**
     * Creates the codec of one fleet.
     *
     * @param fleetName name of the fleet; packets of other fleets are rejected
     */
    public PacketCodec(String fleetName, FleetKeys keys) {
        this.fleetName = fleetName;
        this.keys = keys;
    }

    /** Replaces the keys that seal and verify packets. */
    public void replaceKeys(FleetKeys newKeys) {
        keys = newKeys;
    }

    FleetKeys keys() {
        return keys;
    }

    String fleetName() {
        return fleetName;
    }

    /** Encodes and seals a packet of the membership protocol. */
    public byte[] seal(MembershipPacket packet, long sequence) {
        return seal(packet.sender(), packet.message(), sequence);
    }

    /**
     * Encodes and seals a packet with a message of any family.
     *
     * @param sequence must increase with each packet of the sender's incarnation
     */
    public byte[] seal(Member sender, Object message, long sequence) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(TYPICAL_PACKET_BYTES);
        out.writeBytes(header());
        try (CBORGenerator generator = CBOR.createGenerator(out)) {
            writeContent(generator, sender, message, sequence);
        } catch (IOException e) {
            throw new IllegalStateException("I/O error on an in-memory buffer", e);
        }
        int unsealedLength = out.size();
        byte[] packet = new byte[unsealedLength + FleetKeys.SEAL_BYTES];
        System.arraycopy(out.toByteArray(), 0, packet, 0, unsealedLength);
        packet[LENGTH_OFFSET] = (byte) (packet.length >> 8);
        packet[LENGTH_OFFSET + 1] = (byte) packet.length;
        byte[] seal = keys.seal(packet, unsealedLength);
        System.arraycopy(seal, 0, packet, unsealedLength, FleetKeys.SEAL_BYTES);
        return packet;
    }

    /** Returns the header with a length of 0, which {@link #seal} replaces. */
    private static byte[] header() {
        return new byte[] {
            FIRST_MAGIC_BYTE, SECOND_MAGIC_BYTE, PROTOCOL_VERSION, PROTOCOL_VERSION, 0, 0
        };
    }

    private void writeContent(CBORGenerator out, Member sender, Object message, long sequence)
            throws IOException {
        MessageFormat<?> format = MessageFormats.ALL.forMessage(message);
        out.writeStartArray(null, ENVELOPE_FIELDS);
        out.writeString(fleetName);
        out.writeNumber(sequence);
        out.writeNumber(format.kind());
        out.writeNumber(NO_EPOCH);
        MemberCodec.writeMember(out, sender);
        format.write(out, message);
        out.writeEndArray();
    }

    /**
     * Verifies and decodes a packet. The cheap header checks come first, then the seal; the content
     * is only decoded if its sender has a key of the fleet.
     *
     * @throws RejectedPacketException if the packet cannot be used, with the reason
     */
    public ReceivedPacket open(byte[] bytes, int length) throws RejectedPacketException {
        checkHeader(bytes, length);
        int unsealedLength = length - FleetKeys.SEAL_BYTES;
        if (!keys.isAuthentic(bytes, unsealedLength)) {
            throw new RejectedPacketException(RejectReason.INVALID_SEAL);
        }
        try (CborReader in = CborReader.of(bytes, HEADER_BYTES, unsealedLength - HEADER_BYTES)) {
            return readContent(in);
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            throw new RejectedPacketException(RejectReason.MALFORMED);
        }
    }

    private static void checkHeader(byte[] bytes, int length) throws RejectedPacketException {
        if (length < HEADER_BYTES + FleetKeys.SEAL_BYTES || length > MAX_PACKET_BYTES) {
            throw new RejectedPacketException(RejectReason.INVALID_LENGTH);
        }
        if (bytes[0] != FIRST_MAGIC_BYTE || bytes[1] != SECOND_MAGIC_BYTE) {
            throw new RejectedPacketException(RejectReason.WRONG_MAGIC);
        }
        if (Byte.toUnsignedInt(bytes[MIN_VERSION_OFFSET]) > PROTOCOL_VERSION) {
            throw new RejectedPacketException(RejectReason.UNSUPPORTED_VERSION);
        }
        int statedLength =
                Byte.toUnsignedInt(bytes[LENGTH_OFFSET]) << 8
                        | Byte.toUnsignedInt(bytes[LENGTH_OFFSET + 1]);
        if (statedLength != length) {
            throw new RejectedPacketException(RejectReason.INVALID_LENGTH);
        }
    }

    private ReceivedPacket readContent(CborReader in) throws IOException, RejectedPacketException {
        in.readStartArray();
        if (!in.readText().equals(fleetName)) {
            throw new RejectedPacketException(RejectReason.OTHER_FLEET);
        }
        long sequence = in.readLong();
        long kind = in.readLong();
        long epoch = in.readLong();
        Member sender = MemberCodec.readMember(in);
        MessageFormat<?> format =
                MessageFormats.ALL
                        .forKind(kind)
                        .orElseThrow(() -> new RejectedPacketException(RejectReason.UNKNOWN_KIND));
        return new ReceivedPacket(sender, format.read(in), sequence, epoch);
    }
}
