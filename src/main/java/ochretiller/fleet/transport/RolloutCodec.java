package ochretiller.fleet.transport;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;
import java.util.List;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.fleet.rollout.VersionCounters;
import ochretiller.fleet.rollout.VersionReport;

/**
 * Bodies of what is said about versions, kinds 48 to 63 of the envelope; {@code
 * docs/fleet-wire.md}.
 */
final class RolloutCodec {
    private static final int FIRST_KIND = 48;
    private static final List<Class<?>> KINDS =
            List.of(
                    RolloutMessage.StatusReport.class,
                    RolloutMessage.LeaseReply.class,
                    RolloutMessage.ChunkRequest.class,
                    RolloutMessage.Chunk.class,
                    RolloutMessage.VersionOffer.class,
                    RolloutMessage.VersionStored.class);

    private RolloutCodec() {}

    static int kindOf(Object message) {
        return FIRST_KIND + KINDS.indexOf(message.getClass());
    }

    static boolean isKnownKind(long kind) {
        return kind >= FIRST_KIND && kind < FIRST_KIND + KINDS.size();
    }

    static void write(CBORGenerator to, RolloutMessage message) throws IOException {
        to.writeStartArray();
        if (message instanceof RolloutMessage.StatusReport m) {
            to.writeNumber(m.requestId());
            to.writeNumber(m.report().activeVersion());
            to.writeString(m.report().activeHash());
            to.writeNumber(m.report().rejectedVersion());
            to.writeString(m.report().rejectionReason());
            to.writeNumber(m.report().rolloutVersion());
            counts(to, m.report().candidate());
            counts(to, m.report().baseline());
            to.writeNumber(m.auditRecordNumber());
            to.writeString(m.auditHash());
        } else if (message instanceof RolloutMessage.LeaseReply m) {
            to.writeNumber(m.requestId());
            to.writeBoolean(m.granted());
        } else if (message instanceof RolloutMessage.ChunkRequest m) {
            to.writeString(m.hash());
            to.writeNumber(m.offset());
        } else if (message instanceof RolloutMessage.Chunk m) {
            to.writeString(m.hash());
            to.writeNumber(m.offset());
            to.writeBinary(m.data());
        } else if (message instanceof RolloutMessage.VersionOffer m) {
            to.writeString(m.hash());
            to.writeNumber(m.size());
        } else if (message instanceof RolloutMessage.VersionStored m) {
            to.writeString(m.hash());
        }
        to.writeEndArray();
    }

    static RolloutMessage read(CBORParser in, int kind) throws IOException {
        PacketCodec.readStartArray(in);
        RolloutMessage message =
                switch (kind - FIRST_KIND) {
                    case 0 ->
                            new RolloutMessage.StatusReport(
                                    PacketCodec.readLong(in),
                                    new VersionReport(
                                            PacketCodec.readLong(in),
                                            PacketCodec.readText(in),
                                            PacketCodec.readLong(in),
                                            PacketCodec.readText(in),
                                            PacketCodec.readLong(in),
                                            counts(in),
                                            counts(in)),
                                    PacketCodec.readLong(in),
                                    PacketCodec.readText(in));
                    case 1 ->
                            new RolloutMessage.LeaseReply(
                                    PacketCodec.readLong(in), PacketCodec.readBoolean(in));
                    case 2 ->
                            new RolloutMessage.ChunkRequest(
                                    PacketCodec.readText(in),
                                    Math.toIntExact(PacketCodec.readLong(in)));
                    case 3 ->
                            new RolloutMessage.Chunk(
                                    PacketCodec.readText(in),
                                    Math.toIntExact(PacketCodec.readLong(in)),
                                    bytes(in));
                    case 4 ->
                            new RolloutMessage.VersionOffer(
                                    PacketCodec.readText(in),
                                    Math.toIntExact(PacketCodec.readLong(in)));
                    case 5 -> new RolloutMessage.VersionStored(PacketCodec.readText(in));
                    default -> throw new IllegalArgumentException("no kind");
                };
        PacketCodec.readEndArray(in);
        return message;
    }

    private static byte[] bytes(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IllegalArgumentException("no bytes");
        }
        return in.getBinaryValue();
    }

    private static void counts(CBORGenerator to, VersionCounters counts) throws IOException {
        to.writeNumber(counts.answered());
        to.writeNumber(counts.throttled());
        to.writeNumber(counts.errored());
        to.writeNumber(counts.late());
        to.writeNumber(counts.earnedValue());
        to.writeNumber(counts.offeredValue());
    }

    private static VersionCounters counts(CBORParser in) throws IOException {
        return new VersionCounters(
                PacketCodec.readLong(in),
                PacketCodec.readLong(in),
                PacketCodec.readLong(in),
                PacketCodec.readLong(in),
                real(in),
                real(in));
    }

    private static double real(CBORParser in) throws IOException {
        JsonToken token = in.nextToken();
        if (token == null || !token.isNumeric()) {
            throw new IllegalArgumentException("no number");
        }
        return in.getDoubleValue();
    }
}
