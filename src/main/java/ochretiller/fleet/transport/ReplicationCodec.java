package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.replication.ReplicationMessage.ChangeNumberQuery;
import ochretiller.fleet.replication.ReplicationMessage.ChangeNumberReply;
import ochretiller.fleet.replication.ReplicationMessage.Chunk;
import ochretiller.fleet.replication.ReplicationMessage.ChunkRequest;
import ochretiller.fleet.replication.ReplicationMessage.ClaimCompleted;
import ochretiller.fleet.replication.ReplicationMessage.ClaimQuery;
import ochretiller.fleet.replication.ReplicationMessage.ClaimRelease;
import ochretiller.fleet.replication.ReplicationMessage.ClaimReply;
import ochretiller.fleet.replication.ReplicationMessage.ClaimRequest;
import ochretiller.fleet.replication.ReplicationMessage.ClaimVote;
import ochretiller.fleet.replication.ReplicationMessage.OutcomeStored;
import ochretiller.fleet.replication.ReplicationMessage.OwnerQuery;

/**
 * Encodes and decodes the messages about claims and results: kinds 32 to 38 and 42 to 45. {@link
 * AntiEntropyCodec} has those about ranges. Stateless.
 */
final class ReplicationCodec {
    private static final int CLAIM_REQUEST = 32;
    private static final int CLAIM_QUERY = 33;
    private static final int CLAIM_REPLY = 34;
    private static final int CLAIM_COMPLETED = 35;
    private static final int OUTCOME_STORED = 36;
    private static final int CLAIM_RELEASE = 37;
    private static final int OWNER_QUERY = 38;
    private static final int CHANGE_NUMBER_QUERY = 42;
    private static final int CHANGE_NUMBER_REPLY = 43;
    private static final int CHUNK_REQUEST = 44;
    private static final int CHUNK = 45;

    /** Votes in the order of their numbers on the wire. */
    private static final List<ClaimVote> VOTES = List.of(ClaimVote.values());

    static final List<MessageFormat<?>> FORMATS =
            List.of(
                    MessageFormat.ofIndefiniteLength(
                            CLAIM_REQUEST,
                            ClaimRequest.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readClaimRequest),
                    MessageFormat.ofIndefiniteLength(
                            CLAIM_QUERY,
                            ClaimQuery.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readClaimQuery),
                    MessageFormat.ofIndefiniteLength(
                            CLAIM_REPLY,
                            ClaimReply.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readClaimReply),
                    MessageFormat.ofIndefiniteLength(
                            CLAIM_COMPLETED,
                            ClaimCompleted.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readClaimCompleted),
                    MessageFormat.ofIndefiniteLength(
                            OUTCOME_STORED,
                            OutcomeStored.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readOutcomeStored),
                    MessageFormat.ofIndefiniteLength(
                            CLAIM_RELEASE,
                            ClaimRelease.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readClaimRelease),
                    MessageFormat.ofIndefiniteLength(
                            OWNER_QUERY,
                            OwnerQuery.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readOwnerQuery),
                    MessageFormat.ofIndefiniteLength(
                            CHANGE_NUMBER_QUERY,
                            ChangeNumberQuery.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readChangeNumberQuery),
                    MessageFormat.ofIndefiniteLength(
                            CHANGE_NUMBER_REPLY,
                            ChangeNumberReply.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readChangeNumberReply),
                    MessageFormat.ofIndefiniteLength(
                            CHUNK_REQUEST,
                            ChunkRequest.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readChunkRequest),
                    MessageFormat.ofIndefiniteLength(
                            CHUNK,
                            Chunk.class,
                            ReplicationCodec::encode,
                            ReplicationCodec::readChunk));

    private ReplicationCodec() {}

    private static void encode(CBORGenerator out, ClaimRequest message) throws IOException {
        out.writeNumber(message.epoch());
        out.writeString(message.token());
        ReplicaEntryCodec.writeClaimId(out, message.claimId());
        out.writeString(message.fingerprint());
        ReplicaEntryCodec.writeDuration(out, message.remaining());
        out.writeBoolean(message.transitional());
    }

    private static ClaimRequest readClaimRequest(CborReader in) throws IOException {
        return new ClaimRequest(
                in.readLong(),
                ReplicaEntryCodec.readToken(in),
                ReplicaEntryCodec.readClaimId(in),
                in.readText(),
                ReplicaEntryCodec.readDuration(in),
                in.readBoolean());
    }

    private static void encode(CBORGenerator out, ClaimQuery message) throws IOException {
        out.writeNumber(message.epoch());
        out.writeString(message.token());
        ReplicaEntryCodec.writeClaimId(out, message.claimId());
    }

    private static ClaimQuery readClaimQuery(CborReader in) throws IOException {
        return new ClaimQuery(
                in.readLong(), ReplicaEntryCodec.readToken(in), ReplicaEntryCodec.readClaimId(in));
    }

    private static void encode(CBORGenerator out, ClaimReply message) throws IOException {
        out.writeNumber(message.epoch());
        out.writeString(message.token());
        ReplicaEntryCodec.writeClaimId(out, message.claimId());
        out.writeNumber(VOTES.indexOf(message.vote()));
        out.writeBoolean(message.otherClaim().isPresent());
        if (message.otherClaim().isPresent()) {
            ReplicaEntryCodec.writeClaimId(out, message.otherClaim().get());
        }
        out.writeBoolean(message.outcome().isPresent());
        if (message.outcome().isPresent()) {
            ReplicaEntryCodec.writeOutcome(out, message.outcome().get());
        }
        out.writeNumber(message.changeNumber());
    }

    private static ClaimReply readClaimReply(CborReader in) throws IOException {
        return new ClaimReply(
                in.readLong(),
                ReplicaEntryCodec.readToken(in),
                ReplicaEntryCodec.readClaimId(in),
                in.readConstant(VOTES),
                in.readBoolean()
                        ? Optional.of(ReplicaEntryCodec.readClaimId(in))
                        : Optional.empty(),
                in.readBoolean()
                        ? Optional.of(ReplicaEntryCodec.readOutcome(in))
                        : Optional.empty(),
                in.readLong());
    }

    private static void encode(CBORGenerator out, ClaimCompleted message) throws IOException {
        out.writeNumber(message.epoch());
        out.writeString(message.token());
        ReplicaEntryCodec.writeClaimId(out, message.claimId());
        ReplicaEntryCodec.writeOutcome(out, message.outcome());
        ReplicaEntryCodec.writeDuration(out, message.remaining());
        CborWriter.writeNumbersByName(out, message.changeNumbers());
    }

    private static ClaimCompleted readClaimCompleted(CborReader in) throws IOException {
        return new ClaimCompleted(
                in.readLong(),
                ReplicaEntryCodec.readToken(in),
                ReplicaEntryCodec.readClaimId(in),
                ReplicaEntryCodec.readOutcome(in),
                ReplicaEntryCodec.readDuration(in),
                in.readNumbersByName());
    }

    private static void encode(CBORGenerator out, OutcomeStored message) throws IOException {
        out.writeNumber(message.epoch());
        out.writeString(message.token());
        ReplicaEntryCodec.writeClaimId(out, message.claimId());
        out.writeNumber(message.changeNumber());
    }

    private static OutcomeStored readOutcomeStored(CborReader in) throws IOException {
        return new OutcomeStored(
                in.readLong(),
                ReplicaEntryCodec.readToken(in),
                ReplicaEntryCodec.readClaimId(in),
                in.readLong());
    }

    private static void encode(CBORGenerator out, ClaimRelease message) throws IOException {
        out.writeString(message.token());
        ReplicaEntryCodec.writeClaimId(out, message.claimId());
        ReplicaEntryCodec.writeDuration(out, message.remaining());
    }

    private static ClaimRelease readClaimRelease(CborReader in) throws IOException {
        return new ClaimRelease(
                ReplicaEntryCodec.readToken(in),
                ReplicaEntryCodec.readClaimId(in),
                ReplicaEntryCodec.readDuration(in));
    }

    private static void encode(CBORGenerator out, OwnerQuery message) throws IOException {
        out.writeString(message.token());
        ReplicaEntryCodec.writeClaimId(out, message.claimId());
    }

    private static OwnerQuery readOwnerQuery(CborReader in) throws IOException {
        return new OwnerQuery(ReplicaEntryCodec.readToken(in), ReplicaEntryCodec.readClaimId(in));
    }

    private static void encode(CBORGenerator out, ChangeNumberQuery message) throws IOException {
        out.writeNumber(message.nonce());
    }

    private static ChangeNumberQuery readChangeNumberQuery(CborReader in) throws IOException {
        return new ChangeNumberQuery(in.readLong());
    }

    private static void encode(CBORGenerator out, ChangeNumberReply message) throws IOException {
        out.writeNumber(message.nonce());
        out.writeNumber(message.changeNumber());
    }

    private static ChangeNumberReply readChangeNumberReply(CborReader in) throws IOException {
        return new ChangeNumberReply(in.readLong(), in.readLong());
    }

    private static void encode(CBORGenerator out, ChunkRequest message) throws IOException {
        out.writeString(message.token());
        ReplicaEntryCodec.writeClaimId(out, message.claimId());
        out.writeNumber(message.offset());
    }

    private static ChunkRequest readChunkRequest(CborReader in) throws IOException {
        return new ChunkRequest(
                ReplicaEntryCodec.readToken(in),
                ReplicaEntryCodec.readClaimId(in),
                (int) in.readLong());
    }

    private static void encode(CBORGenerator out, Chunk message) throws IOException {
        out.writeString(message.token());
        ReplicaEntryCodec.writeClaimId(out, message.claimId());
        out.writeNumber(message.offset());
        ReplicaEntryCodec.writeLatin1(out, message.data());
    }

    private static Chunk readChunk(CborReader in) throws IOException {
        return new Chunk(
                ReplicaEntryCodec.readToken(in),
                ReplicaEntryCodec.readClaimId(in),
                (int) in.readLong(),
                ReplicaEntryCodec.readLatin1(in));
    }
}
