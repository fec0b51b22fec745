package ochretiller.fleet.transport;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ochretiller.fleet.consensus.Ballot;
import ochretiller.fleet.consensus.ConsensusMessage;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.ReplicaEntry;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.replication.SetSketch;

/**
 * Bodies of what is said about epochs and tokens, kinds 16 to 47 of the envelope; {@code
 * docs/fleet-wire.md}.
 */
public final class ReplicationCodec {
    private static final int EPOCHS = 16;
    private static final int COPIES = 32;
    private static final byte[] NONE = {};
    private static final List<Class<?>> EPOCH_KINDS =
            List.of(
                    ConsensusMessage.Prepare.class,
                    ConsensusMessage.Promise.class,
                    ConsensusMessage.Accept.class,
                    ConsensusMessage.Accepted.class,
                    ConsensusMessage.Nack.class,
                    ConsensusMessage.Committed.class,
                    ConsensusMessage.RecoveryQuery.class,
                    ConsensusMessage.RecoveryReply.class,
                    ConsensusMessage.StateLost.class,
                    ConsensusMessage.AllStateLost.class,
                    ConsensusMessage.ReplicaProgress.class);
    private static final List<Class<?>> COPY_KINDS =
            List.of(
                    ReplicationMessage.ClaimRequest.class,
                    ReplicationMessage.ClaimQuery.class,
                    ReplicationMessage.ClaimReply.class,
                    ReplicationMessage.ClaimCompleted.class,
                    ReplicationMessage.OutcomeStored.class,
                    ReplicationMessage.ClaimRelease.class,
                    ReplicationMessage.OwnerQuery.class,
                    ReplicationMessage.RangeRequest.class,
                    ReplicationMessage.RangePage.class,
                    ReplicationMessage.RangeDigest.class,
                    ReplicationMessage.ChangeNumberQuery.class,
                    ReplicationMessage.ChangeNumberReply.class,
                    ReplicationMessage.ChunkRequest.class,
                    ReplicationMessage.Chunk.class);

    private static final RolloutPhase[] ROLLOUTS = RolloutPhase.values();

    /**
     * Longest idempotency key in bytes that fits a key of the store beside the names of its claim.
     */
    private static final int MAX_TOKEN_BYTES = 200;

    private ReplicationCodec() {}

    /** Returns whether an idempotency key is short enough to be replicated. */
    public static boolean tokenFits(String token) {
        return token.length() <= MAX_TOKEN_BYTES
                && token.getBytes(StandardCharsets.UTF_8).length <= MAX_TOKEN_BYTES;
    }

    static int kind(Object message) {
        int epoch = EPOCH_KINDS.indexOf(message.getClass());
        return epoch >= 0 ? EPOCHS + epoch : COPIES + COPY_KINDS.indexOf(message.getClass());
    }

    static boolean knows(long kind) {
        return kind >= EPOCHS && kind < EPOCHS + EPOCH_KINDS.size()
                || kind >= COPIES && kind < COPIES + COPY_KINDS.size();
    }

    static void write(CBORGenerator to, Object message) throws IOException {
        to.writeStartArray();
        if (message instanceof ConsensusMessage.Prepare m) {
            to.writeNumber(m.epoch());
            ballot(to, m.ballot());
        } else if (message instanceof ConsensusMessage.Promise m) {
            to.writeNumber(m.epoch());
            ballot(to, m.ballot());
            ballot(to, m.acceptedBallot());
            layoutOrNone(to, m.acceptedPlacement().orElse(null));
        } else if (message instanceof ConsensusMessage.Accept m) {
            to.writeNumber(m.epoch());
            ballot(to, m.ballot());
            layout(to, m.placement());
        } else if (message instanceof ConsensusMessage.Accepted m) {
            to.writeNumber(m.epoch());
            ballot(to, m.ballot());
        } else if (message instanceof ConsensusMessage.Nack m) {
            to.writeNumber(m.epoch());
            ballot(to, m.ballot());
            ballot(to, m.promisedBallot());
        } else if (message instanceof ConsensusMessage.Committed m) {
            layout(to, m.placement());
        } else if (message instanceof ConsensusMessage.RecoveryQuery m) {
            to.writeNumber(m.nonce());
        } else if (message instanceof ConsensusMessage.RecoveryReply m) {
            to.writeNumber(m.nonce());
            to.writeNumber(m.highestEpoch());
            layout(to, m.placement());
        } else if (message instanceof ConsensusMessage.StateLost m) {
            to.writeNumber(m.nonce());
            to.writeNumber(m.instanceId());
        } else if (message instanceof ConsensusMessage.ReplicaProgress m) {
            to.writeNumber(m.epoch());
            to.writeNumber(m.laggingRanges());
        } else if (message instanceof ConsensusMessage.AllStateLost m) {
            to.writeStartArray();
            for (Map.Entry<String, Long> each : m.instanceIds().entrySet()) {
                to.writeStartArray();
                to.writeString(each.getKey());
                to.writeNumber(each.getValue());
                to.writeEndArray();
            }
            to.writeEndArray();
        } else if (message instanceof ReplicationMessage.ClaimRequest m) {
            to.writeNumber(m.epoch());
            to.writeString(m.token());
            id(to, m.claimId());
            to.writeString(m.fingerprint());
            to.writeNumber(m.remaining().toMillis());
            to.writeBoolean(m.transitional());
        } else if (message instanceof ReplicationMessage.ClaimQuery m) {
            to.writeNumber(m.epoch());
            to.writeString(m.token());
            id(to, m.claimId());
        } else if (message instanceof ReplicationMessage.ClaimReply m) {
            to.writeNumber(m.epoch());
            to.writeString(m.token());
            id(to, m.claimId());
            to.writeNumber(m.vote().ordinal());
            to.writeBoolean(m.otherClaim().isPresent());
            if (m.otherClaim().isPresent()) {
                id(to, m.otherClaim().get());
            }
            to.writeBoolean(m.outcome().isPresent());
            if (m.outcome().isPresent()) {
                outcome(to, m.outcome().get());
            }
            to.writeNumber(m.changeNumber());
        } else if (message instanceof ReplicationMessage.ClaimCompleted m) {
            to.writeNumber(m.epoch());
            to.writeString(m.token());
            id(to, m.claimId());
            outcome(to, m.outcome());
            to.writeNumber(m.remaining().toMillis());
            heard(to, m.changeNumbers());
        } else if (message instanceof ReplicationMessage.OutcomeStored m) {
            to.writeNumber(m.epoch());
            to.writeString(m.token());
            id(to, m.claimId());
            to.writeNumber(m.changeNumber());
        } else if (message instanceof ReplicationMessage.ClaimRelease m) {
            to.writeString(m.token());
            id(to, m.claimId());
            to.writeNumber(m.remaining().toMillis());
        } else if (message instanceof ReplicationMessage.OwnerQuery m) {
            to.writeString(m.token());
            id(to, m.claimId());
        } else if (message instanceof ReplicationMessage.RangeRequest m) {
            to.writeNumber(m.epoch());
            to.writeNumber(m.range());
            to.writeNumber(m.nonce());
            to.writeNumber(m.order().ordinal());
            place(to, m.cursor());
            to.writeBinary(m.sketch().map(SetSketch::toBytes).orElse(NONE));
            PacketCodec.numbers(to, m.entryDigests());
            layoutOrNone(to, m.placement().orElse(null));
        } else if (message instanceof ReplicationMessage.RangePage m) {
            to.writeNumber(m.epoch());
            to.writeNumber(m.range());
            to.writeNumber(m.nonce());
            items(to, m.entries());
            place(to, m.cursor());
            to.writeBoolean(m.last());
            to.writeBoolean(m.sourceComplete());
            to.writeBoolean(m.sketchDecoded());
            PacketCodec.numbers(to, m.remainingDigests());
            to.writeNumber(m.entryCount());
            to.writeNumber(m.rangeDigest());
        } else if (message instanceof ReplicationMessage.RangeDigest m) {
            to.writeNumber(m.epoch());
            to.writeNumber(m.range());
            to.writeNumber(m.digest());
            to.writeNumber(m.entryCount());
            to.writeBoolean(m.reply());
        } else if (message instanceof ReplicationMessage.ChangeNumberQuery m) {
            to.writeNumber(m.nonce());
        } else if (message instanceof ReplicationMessage.ChangeNumberReply m) {
            to.writeNumber(m.nonce());
            to.writeNumber(m.changeNumber());
        } else if (message instanceof ReplicationMessage.ChunkRequest m) {
            to.writeString(m.token());
            id(to, m.claimId());
            to.writeNumber(m.offset());
        } else if (message instanceof ReplicationMessage.Chunk m) {
            to.writeString(m.token());
            id(to, m.claimId());
            to.writeNumber(m.offset());
            to.writeBinary(m.data().getBytes(StandardCharsets.ISO_8859_1));
        }
        to.writeEndArray();
    }

    static Object read(CBORParser in, int kind) throws IOException {
        PacketCodec.start(in);
        return kind < COPIES ? epoch(in, kind - EPOCHS) : copy(in, kind - COPIES);
    }

    private static ConsensusMessage epoch(CBORParser in, int kind) throws IOException {
        return switch (kind) {
            case 0 -> new ConsensusMessage.Prepare(PacketCodec.number(in), ballot(in));
            case 1 ->
                    new ConsensusMessage.Promise(
                            PacketCodec.number(in),
                            ballot(in),
                            ballot(in),
                            Optional.ofNullable(layoutOrNone(in)));
            case 2 -> new ConsensusMessage.Accept(PacketCodec.number(in), ballot(in), layout(in));
            case 3 -> new ConsensusMessage.Accepted(PacketCodec.number(in), ballot(in));
            case 4 -> new ConsensusMessage.Nack(PacketCodec.number(in), ballot(in), ballot(in));
            case 5 -> new ConsensusMessage.Committed(layout(in));
            case 6 -> new ConsensusMessage.RecoveryQuery(PacketCodec.number(in));
            case 7 ->
                    new ConsensusMessage.RecoveryReply(
                            PacketCodec.number(in), PacketCodec.number(in), layout(in));
            case 8 ->
                    new ConsensusMessage.StateLost(PacketCodec.number(in), PacketCodec.number(in));
            case 10 ->
                    new ConsensusMessage.ReplicaProgress(
                            PacketCodec.number(in), (int) PacketCodec.number(in));
            default -> {
                Map<String, Long> instances = new HashMap<>();
                PacketCodec.list(
                        in,
                        () -> {
                            String name = PacketCodec.text(in);
                            instances.put(name, PacketCodec.number(in));
                            PacketCodec.end(in);
                            return name;
                        });
                yield new ConsensusMessage.AllStateLost(instances);
            }
        };
    }

    private static ReplicationMessage copy(CBORParser in, int kind) throws IOException {
        return switch (kind) {
            case 0 ->
                    new ReplicationMessage.ClaimRequest(
                            PacketCodec.number(in),
                            token(in),
                            id(in),
                            PacketCodec.text(in),
                            millis(in),
                            PacketCodec.bool(in));
            case 1 -> new ReplicationMessage.ClaimQuery(PacketCodec.number(in), token(in), id(in));
            case 2 ->
                    new ReplicationMessage.ClaimReply(
                            PacketCodec.number(in),
                            token(in),
                            id(in),
                            word(in),
                            PacketCodec.bool(in) ? Optional.of(id(in)) : Optional.empty(),
                            PacketCodec.bool(in) ? Optional.of(outcome(in)) : Optional.empty(),
                            PacketCodec.number(in));
            case 3 ->
                    new ReplicationMessage.ClaimCompleted(
                            PacketCodec.number(in),
                            token(in),
                            id(in),
                            outcome(in),
                            millis(in),
                            heard(in));
            case 4 ->
                    new ReplicationMessage.OutcomeStored(
                            PacketCodec.number(in), token(in), id(in), PacketCodec.number(in));
            case 5 -> new ReplicationMessage.ClaimRelease(token(in), id(in), millis(in));
            case 6 -> new ReplicationMessage.OwnerQuery(token(in), id(in));
            case 7 ->
                    new ReplicationMessage.RangeRequest(
                            PacketCodec.number(in),
                            range(in),
                            PacketCodec.number(in),
                            order(in),
                            place(in),
                            sketch(in),
                            PacketCodec.numbers(in),
                            Optional.ofNullable(layoutOrNone(in)));
            case 8 ->
                    new ReplicationMessage.RangePage(
                            PacketCodec.number(in),
                            range(in),
                            PacketCodec.number(in),
                            items(in),
                            place(in),
                            PacketCodec.bool(in),
                            PacketCodec.bool(in),
                            PacketCodec.bool(in),
                            PacketCodec.numbers(in),
                            (int) PacketCodec.number(in),
                            PacketCodec.number(in));
            case 9 ->
                    new ReplicationMessage.RangeDigest(
                            PacketCodec.number(in),
                            range(in),
                            PacketCodec.number(in),
                            (int) PacketCodec.number(in),
                            PacketCodec.bool(in));
            case 10 -> new ReplicationMessage.ChangeNumberQuery(PacketCodec.number(in));
            case 11 ->
                    new ReplicationMessage.ChangeNumberReply(
                            PacketCodec.number(in), PacketCodec.number(in));
            case 12 ->
                    new ReplicationMessage.ChunkRequest(
                            token(in), id(in), (int) PacketCodec.number(in));
            default ->
                    new ReplicationMessage.Chunk(
                            token(in),
                            id(in),
                            (int) PacketCodec.number(in),
                            new String(binary(in), StandardCharsets.ISO_8859_1));
        };
    }

    // ---- parts

    /**
     * Guards against a token that no key of the store has room for, from a peer that takes more
     * than this program does.
     */
    private static String token(CBORParser in) throws IOException {
        String token = PacketCodec.text(in);
        if (!tokenFits(token)) {
            throw new IllegalArgumentException("no token");
        }
        return token;
    }

    private static byte[] binary(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IllegalArgumentException("no bytes");
        }
        return in.getBinaryValue();
    }

    private static Optional<SetSketch> sketch(CBORParser in) throws IOException {
        byte[] bytes = binary(in);
        return bytes.length == 0 ? Optional.empty() : Optional.of(SetSketch.fromBytes(bytes));
    }

    private static ReplicationMessage.WalkOrder order(CBORParser in) throws IOException {
        long order = PacketCodec.number(in);
        if (order < 0 || order >= ReplicationMessage.WalkOrder.values().length) {
            throw new IllegalArgumentException("no order");
        }
        return ReplicationMessage.WalkOrder.values()[(int) order];
    }

    private static void place(CBORGenerator to, ReplicationMessage.RangeCursor place)
            throws IOException {
        to.writeNumber(place.expiresAtNanos());
        to.writeString(place.token());
    }

    private static ReplicationMessage.RangeCursor place(CBORParser in) throws IOException {
        return new ReplicationMessage.RangeCursor(PacketCodec.number(in), PacketCodec.text(in));
    }

    public static void heard(CBORGenerator to, Map<String, Long> heard) throws IOException {
        to.writeStartArray();
        for (Map.Entry<String, Long> each : heard.entrySet()) {
            to.writeStartArray();
            to.writeString(each.getKey());
            to.writeNumber(each.getValue());
            to.writeEndArray();
        }
        to.writeEndArray();
    }

    public static Map<String, Long> heard(CBORParser in) throws IOException {
        Map<String, Long> heard = new TreeMap<>();
        PacketCodec.list(
                in,
                () -> {
                    String name = PacketCodec.text(in);
                    heard.put(name, PacketCodec.number(in));
                    PacketCodec.end(in);
                    return name;
                });
        return heard;
    }

    private static Duration millis(CBORParser in) throws IOException {
        return Duration.ofMillis(Math.max(0, PacketCodec.number(in)));
    }

    private static int range(CBORParser in) throws IOException {
        long range = PacketCodec.number(in);
        if (range < 0 || range >= ReplicaPlacement.RANGE_COUNT) {
            throw new IllegalArgumentException("no range");
        }
        return (int) range;
    }

    private static ReplicationMessage.ClaimVote word(CBORParser in) throws IOException {
        long word = PacketCodec.number(in);
        if (word < 0 || word >= ReplicationMessage.ClaimVote.values().length) {
            throw new IllegalArgumentException("no word");
        }
        return ReplicationMessage.ClaimVote.values()[(int) word];
    }

    private static void ballot(CBORGenerator to, Ballot ballot) throws IOException {
        to.writeNumber(ballot.round());
        to.writeString(ballot.proposer());
    }

    private static Ballot ballot(CBORParser in) throws IOException {
        return new Ballot(PacketCodec.number(in), PacketCodec.text(in));
    }

    public static void layout(CBORGenerator to, ReplicaPlacement layout) throws IOException {
        to.writeNumber(layout.epoch());
        to.writeNumber(layout.replicationFactor());
        servers(to, layout.servers());
        servers(to, layout.previousServers());
        RolloutState rollout = layout.rollout();
        version(to, rollout.target());
        version(to, rollout.previous());
        to.writeNumber(rollout.stage());
        to.writeNumber(rollout.phase().ordinal());
    }

    public static void version(CBORGenerator to, PublishedVersion version) throws IOException {
        to.writeNumber(version.number());
        to.writeString(version.hash());
        to.writeNumber(version.sizeBytes());
        to.writeString(version.minimumBuild());
        to.writeString(version.publisher());
        to.writeString(version.reason());
    }

    public static PublishedVersion version(CBORParser in) throws IOException {
        return new PublishedVersion(
                PacketCodec.number(in),
                PacketCodec.text(in),
                Math.toIntExact(PacketCodec.number(in)),
                PacketCodec.text(in),
                PacketCodec.text(in),
                PacketCodec.text(in));
    }

    private static RolloutState rollout(CBORParser in) throws IOException {
        PublishedVersion to = version(in);
        PublishedVersion from = version(in);
        int stage = Math.toIntExact(PacketCodec.number(in));
        long state = PacketCodec.number(in);
        if (state < 0 || state >= ROLLOUTS.length) {
            throw new IllegalArgumentException("no state");
        }
        return new RolloutState(to, from, stage, ROLLOUTS[(int) state]);
    }

    public static ReplicaPlacement layout(CBORParser in) throws IOException {
        long epoch = PacketCodec.number(in);
        long factor = PacketCodec.number(in);
        if (epoch < 0 || factor < 1 || factor > 9) {
            throw new IllegalArgumentException("no layout");
        }
        return new ReplicaPlacement(epoch, servers(in), servers(in), (int) factor, rollout(in));
    }

    private static void layoutOrNone(CBORGenerator to, ReplicaPlacement layout) throws IOException {
        to.writeBoolean(layout != null);
        if (layout != null) {
            layout(to, layout);
        }
    }

    private static ReplicaPlacement layoutOrNone(CBORParser in) throws IOException {
        return PacketCodec.bool(in) ? layout(in) : null;
    }

    private static void servers(CBORGenerator to, List<ReplicaServer> servers) throws IOException {
        to.writeStartArray();
        for (ReplicaServer each : servers) {
            to.writeStartArray();
            to.writeString(each.name());
            to.writeString(each.zone());
            to.writeEndArray();
        }
        to.writeEndArray();
    }

    private static List<ReplicaServer> servers(CBORParser in) throws IOException {
        return PacketCodec.list(
                in,
                () -> {
                    ReplicaServer server =
                            new ReplicaServer(PacketCodec.text(in), PacketCodec.text(in));
                    PacketCodec.end(in);
                    return server;
                });
    }

    private static void id(CBORGenerator to, ClaimId id) throws IOException {
        to.writeString(id.server());
        to.writeNumber(id.incarnation());
        to.writeNumber(id.sequence());
    }

    private static ClaimId id(CBORParser in) throws IOException {
        return new ClaimId(PacketCodec.text(in), PacketCodec.number(in), PacketCodec.number(in));
    }

    private static void outcome(CBORGenerator to, ClaimOutcome outcome) throws IOException {
        to.writeBoolean(outcome.succeeded());
        to.writeString(outcome.fingerprint());
        to.writeBinary(outcome.result().getBytes(StandardCharsets.ISO_8859_1));
        to.writeNumber(outcome.resultSize());
        to.writeNumber(outcome.checksum());
        to.writeBoolean(outcome.resultPresent());
    }

    private static ClaimOutcome outcome(CBORParser in) throws IOException {
        ClaimOutcome outcome =
                new ClaimOutcome(
                        PacketCodec.bool(in),
                        PacketCodec.text(in),
                        new String(binary(in), StandardCharsets.ISO_8859_1),
                        (int) PacketCodec.number(in),
                        PacketCodec.number(in),
                        PacketCodec.bool(in));
        if (outcome.resultSize() < 0 || outcome.resultSize() > ClaimOutcome.MAX_RESULT_BYTES) {
            throw new IllegalArgumentException("no size");
        }
        return outcome;
    }

    private static void items(CBORGenerator to, List<ReplicationMessage.TransferredEntry> items)
            throws IOException {
        to.writeStartArray();
        for (ReplicationMessage.TransferredEntry item : items) {
            item(to, item);
        }
        to.writeEndArray();
    }

    public static void item(CBORGenerator to, ReplicationMessage.TransferredEntry item)
            throws IOException {
        to.writeStartArray();
        to.writeString(item.token());
        to.writeNumber(item.remaining().toMillis());
        to.writeStartArray();
        for (Map.Entry<ClaimId, String> each : item.entry().claims().entrySet()) {
            to.writeStartArray();
            id(to, each.getKey());
            to.writeString(each.getValue());
            to.writeEndArray();
        }
        to.writeEndArray();
        to.writeStartArray();
        for (ClaimId each : item.entry().releasedClaims()) {
            to.writeStartArray();
            id(to, each);
            to.writeEndArray();
        }
        to.writeEndArray();
        to.writeStartArray();
        for (Map.Entry<ClaimId, ClaimOutcome> each : item.entry().outcomes().entrySet()) {
            to.writeStartArray();
            id(to, each.getKey());
            outcome(to, each.getValue());
            to.writeEndArray();
        }
        to.writeEndArray();
        to.writeEndArray();
    }

    private static List<ReplicationMessage.TransferredEntry> items(CBORParser in)
            throws IOException {
        return PacketCodec.list(in, () -> item(in));
    }

    /** The rest of an item whose array has begun. */
    public static ReplicationMessage.TransferredEntry item(CBORParser in) throws IOException {
        String token = token(in);
        Duration left = millis(in);
        Map<ClaimId, String> claims = new TreeMap<>();
        PacketCodec.list(
                in,
                () -> {
                    claims.put(id(in), PacketCodec.text(in));
                    PacketCodec.end(in);
                    return token;
                });
        Set<ClaimId> released = new TreeSet<>();
        PacketCodec.list(
                in,
                () -> {
                    released.add(id(in));
                    PacketCodec.end(in);
                    return token;
                });
        Map<ClaimId, ClaimOutcome> outcomes = new TreeMap<>();
        PacketCodec.list(
                in,
                () -> {
                    outcomes.put(id(in), outcome(in));
                    PacketCodec.end(in);
                    return token;
                });
        PacketCodec.end(in);
        return new ReplicationMessage.TransferredEntry(
                token, new ReplicaEntry(claims, released, outcomes, Duration.ZERO), left);
    }
}
