package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import ochretiller.fleet.rollout.RolloutMessage.Chunk;
import ochretiller.fleet.rollout.RolloutMessage.ChunkRequest;
import ochretiller.fleet.rollout.RolloutMessage.LeaseReply;
import ochretiller.fleet.rollout.RolloutMessage.StatusReport;
import ochretiller.fleet.rollout.RolloutMessage.VersionOffer;
import ochretiller.fleet.rollout.RolloutMessage.VersionStored;
import ochretiller.fleet.rollout.VersionCounters;
import ochretiller.fleet.rollout.VersionReport;

/** Encodes and decodes the messages about versions and leases: kinds 48 to 53. Stateless. */
final class RolloutCodec {
    private static final int STATUS_REPORT = 48;
    private static final int LEASE_REPLY = 49;
    private static final int CHUNK_REQUEST = 50;
    private static final int CHUNK = 51;
    private static final int VERSION_OFFER = 52;
    private static final int VERSION_STORED = 53;

    static final List<MessageFormat<?>> FORMATS =
            List.of(
                    format(
                            STATUS_REPORT,
                            StatusReport.class,
                            RolloutCodec::encode,
                            RolloutCodec::readStatusReport),
                    format(
                            LEASE_REPLY,
                            LeaseReply.class,
                            RolloutCodec::encode,
                            RolloutCodec::readLeaseReply),
                    format(
                            CHUNK_REQUEST,
                            ChunkRequest.class,
                            RolloutCodec::encode,
                            RolloutCodec::readChunkRequest),
                    format(CHUNK, Chunk.class, RolloutCodec::encode, RolloutCodec::readChunk),
                    format(
                            VERSION_OFFER,
                            VersionOffer.class,
                            RolloutCodec::encode,
                            RolloutCodec::readVersionOffer),
                    format(
                            VERSION_STORED,
                            VersionStored.class,
                            RolloutCodec::encode,
                            RolloutCodec::readVersionStored));

    private RolloutCodec() {}

    /** Returns a format that requires the body's array to end, possibly after newer elements. */
    private static <T> MessageFormat<T> format(
            int kind,
            Class<T> type,
            MessageFormat.Encoder<T> encoder,
            MessageFormat.Decoder<T> decoder) {
        return MessageFormat.ofIndefiniteLength(
                kind,
                type,
                encoder,
                in -> {
                    T message = decoder.decode(in);
                    in.readEndArray();
                    return message;
                });
    }

    private static void encode(CBORGenerator out, StatusReport message) throws IOException {
        out.writeNumber(message.requestId());
        writeReport(out, message.report());
        out.writeNumber(message.auditRecordNumber());
        out.writeString(message.auditHash());
    }

    private static StatusReport readStatusReport(CborReader in) throws IOException {
        return new StatusReport(in.readLong(), readReport(in), in.readLong(), in.readText());
    }

    private static void encode(CBORGenerator out, LeaseReply message) throws IOException {
        out.writeNumber(message.requestId());
        out.writeBoolean(message.granted());
    }

    private static LeaseReply readLeaseReply(CborReader in) throws IOException {
        return new LeaseReply(in.readLong(), in.readBoolean());
    }

    private static void encode(CBORGenerator out, ChunkRequest message) throws IOException {
        out.writeString(message.hash());
        out.writeNumber(message.offset());
    }

    private static ChunkRequest readChunkRequest(CborReader in) throws IOException {
        return new ChunkRequest(in.readText(), in.readInt());
    }

    private static void encode(CBORGenerator out, Chunk message) throws IOException {
        out.writeString(message.hash());
        out.writeNumber(message.offset());
        out.writeBinary(message.data());
    }

    private static Chunk readChunk(CborReader in) throws IOException {
        return new Chunk(in.readText(), in.readInt(), in.readBytes());
    }

    private static void encode(CBORGenerator out, VersionOffer message) throws IOException {
        out.writeString(message.hash());
        out.writeNumber(message.size());
    }

    private static VersionOffer readVersionOffer(CborReader in) throws IOException {
        return new VersionOffer(in.readText(), in.readInt());
    }

    private static void encode(CBORGenerator out, VersionStored message) throws IOException {
        out.writeString(message.hash());
    }

    private static VersionStored readVersionStored(CborReader in) throws IOException {
        return new VersionStored(in.readText());
    }

    private static void writeReport(CBORGenerator out, VersionReport report) throws IOException {
        out.writeNumber(report.activeVersion());
        out.writeString(report.activeHash());
        out.writeNumber(report.rejectedVersion());
        out.writeString(report.rejectionReason());
        out.writeNumber(report.rolloutVersion());
        writeCounters(out, report.candidate());
        writeCounters(out, report.baseline());
    }

    private static VersionReport readReport(CborReader in) throws IOException {
        return new VersionReport(
                in.readLong(),
                in.readText(),
                in.readLong(),
                in.readText(),
                in.readLong(),
                readCounters(in),
                readCounters(in));
    }

    private static void writeCounters(CBORGenerator out, VersionCounters counters)
            throws IOException {
        out.writeNumber(counters.answered());
        out.writeNumber(counters.throttled());
        out.writeNumber(counters.errored());
        out.writeNumber(counters.late());
        out.writeNumber(counters.earnedValue());
        out.writeNumber(counters.offeredValue());
    }

    private static VersionCounters readCounters(CborReader in) throws IOException {
        return new VersionCounters(
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readDouble(),
                in.readDouble());
    }
}
