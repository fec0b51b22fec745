package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import ochretiller.fleet.consensus.ConsensusMessage.Accept;
import ochretiller.fleet.consensus.ConsensusMessage.Accepted;
import ochretiller.fleet.consensus.ConsensusMessage.AllStateLost;
import ochretiller.fleet.consensus.ConsensusMessage.Committed;
import ochretiller.fleet.consensus.ConsensusMessage.Nack;
import ochretiller.fleet.consensus.ConsensusMessage.Prepare;
import ochretiller.fleet.consensus.ConsensusMessage.Promise;
import ochretiller.fleet.consensus.ConsensusMessage.RecoveryQuery;
import ochretiller.fleet.consensus.ConsensusMessage.RecoveryReply;
import ochretiller.fleet.consensus.ConsensusMessage.ReplicaProgress;
import ochretiller.fleet.consensus.ConsensusMessage.StateLost;

/** Encodes and decodes the messages of the epoch consensus: kinds 16 to 26. Stateless. */
final class ConsensusCodec {
    private static final int PREPARE = 16;
    private static final int PROMISE = 17;
    private static final int ACCEPT = 18;
    private static final int ACCEPTED = 19;
    private static final int NACK = 20;
    private static final int COMMITTED = 21;
    private static final int RECOVERY_QUERY = 22;
    private static final int RECOVERY_REPLY = 23;
    private static final int STATE_LOST = 24;
    private static final int ALL_STATE_LOST = 25;
    private static final int REPLICA_PROGRESS = 26;

    static final List<MessageFormat<?>> FORMATS =
            List.of(
                    format(
                            PREPARE,
                            Prepare.class,
                            ConsensusCodec::encode,
                            ConsensusCodec::readPrepare),
                    format(
                            PROMISE,
                            Promise.class,
                            ConsensusCodec::encode,
                            ConsensusCodec::readPromise),
                    format(
                            ACCEPT,
                            Accept.class,
                            ConsensusCodec::encode,
                            ConsensusCodec::readAccept),
                    format(
                            ACCEPTED,
                            Accepted.class,
                            ConsensusCodec::encode,
                            ConsensusCodec::readAccepted),
                    format(NACK, Nack.class, ConsensusCodec::encode, ConsensusCodec::readNack),
                    format(
                            COMMITTED,
                            Committed.class,
                            ConsensusCodec::encode,
                            ConsensusCodec::readCommitted),
                    format(
                            RECOVERY_QUERY,
                            RecoveryQuery.class,
                            ConsensusCodec::encode,
                            ConsensusCodec::readRecoveryQuery),
                    format(
                            RECOVERY_REPLY,
                            RecoveryReply.class,
                            ConsensusCodec::encode,
                            ConsensusCodec::readRecoveryReply),
                    format(
                            STATE_LOST,
                            StateLost.class,
                            ConsensusCodec::encode,
                            ConsensusCodec::readStateLost),
                    format(
                            ALL_STATE_LOST,
                            AllStateLost.class,
                            ConsensusCodec::encode,
                            ConsensusCodec::readAllStateLost),
                    format(
                            REPLICA_PROGRESS,
                            ReplicaProgress.class,
                            ConsensusCodec::encode,
                            ConsensusCodec::readReplicaProgress));

    private ConsensusCodec() {}

    private static <T> MessageFormat<T> format(
            int kind,
            Class<T> type,
            MessageFormat.Encoder<T> encoder,
            MessageFormat.Decoder<T> decoder) {
        return MessageFormat.ofIndefiniteLength(kind, type, encoder, decoder);
    }

    private static void encode(CBORGenerator out, Prepare message) throws IOException {
        out.writeNumber(message.epoch());
        PlacementCodec.writeBallot(out, message.ballot());
    }

    private static Prepare readPrepare(CborReader in) throws IOException {
        return new Prepare(in.readLong(), PlacementCodec.readBallot(in));
    }

    private static void encode(CBORGenerator out, Promise message) throws IOException {
        out.writeNumber(message.epoch());
        PlacementCodec.writeBallot(out, message.ballot());
        PlacementCodec.writeBallot(out, message.acceptedBallot());
        PlacementCodec.writeOptionalPlacement(out, message.acceptedPlacement());
    }

    private static Promise readPromise(CborReader in) throws IOException {
        return new Promise(
                in.readLong(),
                PlacementCodec.readBallot(in),
                PlacementCodec.readBallot(in),
                PlacementCodec.readOptionalPlacement(in));
    }

    private static void encode(CBORGenerator out, Accept message) throws IOException {
        out.writeNumber(message.epoch());
        PlacementCodec.writeBallot(out, message.ballot());
        PlacementCodec.writePlacement(out, message.placement());
    }

    private static Accept readAccept(CborReader in) throws IOException {
        return new Accept(
                in.readLong(), PlacementCodec.readBallot(in), PlacementCodec.readPlacement(in));
    }

    private static void encode(CBORGenerator out, Accepted message) throws IOException {
        out.writeNumber(message.epoch());
        PlacementCodec.writeBallot(out, message.ballot());
    }

    private static Accepted readAccepted(CborReader in) throws IOException {
        return new Accepted(in.readLong(), PlacementCodec.readBallot(in));
    }

    private static void encode(CBORGenerator out, Nack message) throws IOException {
        out.writeNumber(message.epoch());
        PlacementCodec.writeBallot(out, message.ballot());
        PlacementCodec.writeBallot(out, message.promisedBallot());
    }

    private static Nack readNack(CborReader in) throws IOException {
        return new Nack(
                in.readLong(), PlacementCodec.readBallot(in), PlacementCodec.readBallot(in));
    }

    private static void encode(CBORGenerator out, Committed message) throws IOException {
        PlacementCodec.writePlacement(out, message.placement());
    }

    private static Committed readCommitted(CborReader in) throws IOException {
        return new Committed(PlacementCodec.readPlacement(in));
    }

    private static void encode(CBORGenerator out, RecoveryQuery message) throws IOException {
        out.writeNumber(message.nonce());
    }

    private static RecoveryQuery readRecoveryQuery(CborReader in) throws IOException {
        return new RecoveryQuery(in.readLong());
    }

    private static void encode(CBORGenerator out, RecoveryReply message) throws IOException {
        out.writeNumber(message.nonce());
        out.writeNumber(message.highestEpoch());
        PlacementCodec.writePlacement(out, message.placement());
    }

    private static RecoveryReply readRecoveryReply(CborReader in) throws IOException {
        return new RecoveryReply(in.readLong(), in.readLong(), PlacementCodec.readPlacement(in));
    }

    private static void encode(CBORGenerator out, StateLost message) throws IOException {
        out.writeNumber(message.nonce());
        out.writeNumber(message.startId());
    }

    private static StateLost readStateLost(CborReader in) throws IOException {
        return new StateLost(in.readLong(), in.readLong());
    }

    private static void encode(CBORGenerator out, AllStateLost message) throws IOException {
        CborWriter.writeNumbersByName(out, message.startIds());
    }

    private static AllStateLost readAllStateLost(CborReader in) throws IOException {
        return new AllStateLost(new HashMap<>(in.readNumbersByName()));
    }

    private static void encode(CBORGenerator out, ReplicaProgress message) throws IOException {
        out.writeNumber(message.epoch());
        out.writeNumber(message.laggingRanges());
    }

    private static ReplicaProgress readReplicaProgress(CborReader in) throws IOException {
        return new ReplicaProgress(in.readLong(), (int) in.readLong());
    }
}
