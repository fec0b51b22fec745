package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.replication.ReplicationMessage.RangeCursor;
import ochretiller.fleet.replication.ReplicationMessage.RangeDigest;
import ochretiller.fleet.replication.ReplicationMessage.RangePage;
import ochretiller.fleet.replication.ReplicationMessage.RangeRequest;
import ochretiller.fleet.replication.ReplicationMessage.WalkOrder;
import ochretiller.fleet.replication.SetSketch;

/**
 * Encodes and decodes the messages with which replicas compare and synchronize their ranges: kinds
 * 39 to 41. Stateless.
 */
final class AntiEntropyCodec {
    private static final int RANGE_REQUEST = 39;
    private static final int RANGE_PAGE = 40;
    private static final int RANGE_DIGEST = 41;

    /** Encoding of an absent sketch. */
    private static final byte[] NO_SKETCH = {};

    /** Walk orders in the order of their numbers on the wire. */
    private static final List<WalkOrder> WALK_ORDERS = List.of(WalkOrder.values());

    static final List<MessageFormat<?>> FORMATS =
            List.of(
                    MessageFormat.ofIndefiniteLength(
                            RANGE_REQUEST,
                            RangeRequest.class,
                            AntiEntropyCodec::encode,
                            AntiEntropyCodec::readRangeRequest),
                    MessageFormat.ofIndefiniteLength(
                            RANGE_PAGE,
                            RangePage.class,
                            AntiEntropyCodec::encode,
                            AntiEntropyCodec::readRangePage),
                    MessageFormat.ofIndefiniteLength(
                            RANGE_DIGEST,
                            RangeDigest.class,
                            AntiEntropyCodec::encode,
                            AntiEntropyCodec::readRangeDigest));

    private AntiEntropyCodec() {}

    private static void encode(CBORGenerator out, RangeRequest message) throws IOException {
        out.writeNumber(message.epoch());
        out.writeNumber(message.range());
        out.writeNumber(message.nonce());
        out.writeNumber(WALK_ORDERS.indexOf(message.order()));
        writeCursor(out, message.cursor());
        out.writeBinary(message.sketch().map(SetSketch::toBytes).orElse(NO_SKETCH));
        CborWriter.writeLongs(out, message.entryDigests());
        PlacementCodec.writeOptionalPlacement(out, message.placement());
    }

    private static RangeRequest readRangeRequest(CborReader in) throws IOException {
        return new RangeRequest(
                in.readLong(),
                readRange(in),
                in.readLong(),
                in.readConstant(WALK_ORDERS),
                readCursor(in),
                readOptionalSketch(in),
                in.readLongs(),
                PlacementCodec.readOptionalPlacement(in));
    }

    private static void encode(CBORGenerator out, RangePage message) throws IOException {
        out.writeNumber(message.epoch());
        out.writeNumber(message.range());
        out.writeNumber(message.nonce());
        ReplicaEntryCodec.writeEntries(out, message.entries());
        writeCursor(out, message.cursor());
        out.writeBoolean(message.isLast());
        out.writeBoolean(message.sourceComplete());
        out.writeBoolean(message.sketchDecoded());
        CborWriter.writeLongs(out, message.remainingDigests());
        out.writeNumber(message.entryCount());
        out.writeNumber(message.rangeDigest());
    }

    private static RangePage readRangePage(CborReader in) throws IOException {
        return new RangePage(
                in.readLong(),
                readRange(in),
                in.readLong(),
                ReplicaEntryCodec.readEntries(in),
                readCursor(in),
                in.readBoolean(),
                in.readBoolean(),
                in.readBoolean(),
                in.readLongs(),
                (int) in.readLong(),
                in.readLong());
    }

    private static void encode(CBORGenerator out, RangeDigest message) throws IOException {
        out.writeNumber(message.epoch());
        out.writeNumber(message.range());
        out.writeNumber(message.digest());
        out.writeNumber(message.entryCount());
        out.writeBoolean(message.isReply());
    }

    private static RangeDigest readRangeDigest(CborReader in) throws IOException {
        return new RangeDigest(
                in.readLong(), readRange(in), in.readLong(), (int) in.readLong(), in.readBoolean());
    }

    private static int readRange(CborReader in) throws IOException {
        long range = in.readLong();
        if (range < 0 || range >= ReplicaPlacement.RANGE_COUNT) {
            throw new IllegalArgumentException(
                    "invalid range number "
                            + range
                            + ", there are "
                            + ReplicaPlacement.RANGE_COUNT
                            + " ranges");
        }
        return (int) range;
    }

    private static void writeCursor(CBORGenerator out, RangeCursor cursor) throws IOException {
        out.writeNumber(cursor.expiresAtNanos());
        out.writeString(cursor.token());
    }

    private static RangeCursor readCursor(CborReader in) throws IOException {
        return new RangeCursor(in.readLong(), in.readText());
    }

    private static Optional<SetSketch> readOptionalSketch(CborReader in) throws IOException {
        byte[] bytes = in.readBytes();
        return bytes.length == 0 ? Optional.empty() : Optional.of(SetSketch.fromBytes(bytes));
    }
}
