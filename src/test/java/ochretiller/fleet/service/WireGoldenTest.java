package ochretiller.fleet.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import ochretiller.fleet.consensus.Ballot;
import ochretiller.fleet.consensus.ConsensusMessage;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.ReplicaServer;
import ochretiller.fleet.consensus.RolloutPhase;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MemberId;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.MembershipMessage;
import ochretiller.fleet.membership.MembershipUpdate;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.replication.SetSketch;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.fleet.rollout.VersionCounters;
import ochretiller.fleet.rollout.VersionReport;
import ochretiller.fleet.transport.AdminMessage;
import ochretiller.fleet.transport.FleetKeys;
import ochretiller.fleet.transport.PacketCodec;
import ochretiller.fleet.transport.ReceivedPacket;
import ochretiller.fleet.transport.RejectedPacketException;
import ochretiller.fleet.transport.SealedFrame;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/**
 * Compares sealed messages of the fleet, as specified in {@code docs/fleet-wire.md}, with golden
 * bytes. A line of a golden file is named after the number and name of its message kind.
 */
class WireGoldenTest {
    private static final GoldenFile PACKETS = new GoldenFile("fleet-packets");
    private static final GoldenFile FRAMES = new GoldenFile("fleet-frames");
    private static final List<Class<?>> FAMILIES =
            List.of(
                    MembershipMessage.class,
                    ConsensusMessage.class,
                    ReplicationMessage.class,
                    RolloutMessage.class);
    private static final long SEQUENCE = 77;
    private static final FleetKeys KEYS = FleetKeys.of("a key that is long enough");
    private static final String HASH = "0123456789abcdef".repeat(4);
    private static final Member SENDER =
            new Member(
                    new MemberId("n1", -5),
                    new PeerAddress("10.0.0.1", 4200),
                    "z1",
                    "0.1",
                    Optional.of(new PeerAddress("10.0.0.1", 4100)),
                    3,
                    MemberState.ALIVE);

    private final PacketCodec codec = new PacketCodec("parts", KEYS);

    private static Map<MemberState, MembershipUpdate> updatesByState() {
        Map<MemberState, MembershipUpdate> updates = new EnumMap<>(MemberState.class);
        updates.put(MemberState.JOINING, new MembershipUpdate(11, 1, MemberState.JOINING, 0));
        updates.put(MemberState.ALIVE, new MembershipUpdate(12, 2, MemberState.ALIVE, 0));
        updates.put(MemberState.SUSPECT, new MembershipUpdate(-13, 3, MemberState.SUSPECT, 8));
        updates.put(
                MemberState.UNRESPONSIVE, new MembershipUpdate(14, 4, MemberState.UNRESPONSIVE, 0));
        updates.put(MemberState.LEFT, new MembershipUpdate(15, 5, MemberState.LEFT, 0));
        return updates;
    }

    private static void addMembershipMessages(Map<String, Object> all) {
        List<MembershipUpdate> updates = new ArrayList<>(updatesByState().values());
        Member other =
                new Member(
                        new MemberId("n2", 6),
                        new PeerAddress("10.0.0.2", 4201),
                        "z2",
                        "0.2",
                        Optional.empty(),
                        0,
                        MemberState.JOINING);
        MembershipMessage.Gossip gossip =
                new MembershipMessage.Gossip(updates.subList(2, 4), List.of(other));
        all.put("1-ping", new MembershipMessage.Ping(1, -2, gossip, Long.MIN_VALUE));
        all.put("2-ack", new MembershipMessage.Ack(Long.MAX_VALUE, gossip, 5));
        all.put(
                "3-ask",
                new MembershipMessage.PingRequest(3, 4, new PeerAddress("10.0.0.9", 65535)));
        all.put("4-reached", new MembershipMessage.IndirectAck(9, updates.get(1)));
        all.put("5-sync", new MembershipMessage.DigestSync(List.of(1L, -1L, 0L), true));
        all.put("6-states", new MembershipMessage.UpdatePage(updates));
        all.put("7-want", new MembershipMessage.MemberRequest(List.of(4L, 5L)));
        all.put("8-full", new MembershipMessage.MemberPage(List.of(other, SENDER)));
    }

    private static ReplicaPlacement createPlacement(RolloutPhase phase) {
        ReplicaServer a = new ReplicaServer("a", "z1");
        ReplicaServer b = new ReplicaServer("b", "z2");
        ReplicaServer c = new ReplicaServer("c", "");
        PublishedVersion previous = new PublishedVersion(2, HASH, 10, "1.2", "ann", "first");
        PublishedVersion target =
                new PublishedVersion(3, "f".repeat(64), 11, "1.3", "bob", "caf\u00e9");
        return new ReplicaPlacement(
                4, List.of(a, b), List.of(b, c), 3, new RolloutState(target, previous, 1, phase));
    }

    private static void addConsensusMessages(Map<String, Object> all) {
        ReplicaPlacement placement = createPlacement(RolloutPhase.RUNNING);
        Ballot low = new Ballot(2, "a");
        Ballot high = new Ballot(3, "b");
        all.put("16-prepare", new ConsensusMessage.Prepare(5, low));
        all.put(
                "17-promise-of-none",
                new ConsensusMessage.Promise(5, low, Ballot.NONE, Optional.empty()));
        all.put("17-promise", new ConsensusMessage.Promise(5, high, low, Optional.of(placement)));
        all.put("18-accept", new ConsensusMessage.Accept(5, low, placement));
        all.put("19-accepted", new ConsensusMessage.Accepted(5, low));
        all.put("20-refused", new ConsensusMessage.Nack(5, low, high));
        all.put("21-agreed-runs", new ConsensusMessage.Committed(placement));
        all.put(
                "21-agreed-paused",
                new ConsensusMessage.Committed(createPlacement(RolloutPhase.PAUSED)));
        all.put(
                "21-agreed-halted",
                new ConsensusMessage.Committed(createPlacement(RolloutPhase.HALTED)));
        all.put(
                "21-agreed-done",
                new ConsensusMessage.Committed(createPlacement(RolloutPhase.DONE)));
        all.put("22-what-is-open", new ConsensusMessage.RecoveryQuery(9));
        all.put("23-open", new ConsensusMessage.RecoveryReply(9, 8, placement));
        all.put("24-blank", new ConsensusMessage.StateLost(1, -2));
        all.put(
                "25-fresh",
                new ConsensusMessage.AllStateLost(new TreeMap<>(Map.of("a", 1L, "b", -2L))));
        all.put("26-standing", new ConsensusMessage.ReplicaProgress(4, 17));
    }

    private static ReplicationMessage.ClaimReply claimReply(ReplicationMessage.ClaimVote vote) {
        ClaimId id = new ClaimId("s", -7, 3);
        return new ReplicationMessage.ClaimReply(
                4, "x", id, vote, Optional.empty(), Optional.empty(), 17);
    }

    private static void addReplicationMessages(Map<String, Object> all) {
        ClaimId id = new ClaimId("s", -7, 3);
        ClaimId other = new ClaimId("t", 8, 1);
        Duration remaining = Duration.ofMillis(1_007);
        ClaimOutcome outcome = new ClaimOutcome(true, "body", "caf\u00e9");
        ClaimOutcome failed = new ClaimOutcome(false, "other body", "");
        ReplicaPlacement placement = createPlacement(RolloutPhase.DONE);
        ReplicationMessage.TransferredEntry transferredEntry =
                new ReplicationMessage.TransferredEntry(
                        "x",
                        new ochretiller.fleet.replication.ReplicaEntry(
                                new TreeMap<>(Map.of(id, "body", other, "b")),
                                Set.of(new ClaimId("u", 1, 2)),
                                new TreeMap<>(Map.of(id, outcome, other, failed)),
                                Duration.ZERO),
                        remaining);
        all.put(
                "32-claim",
                new ReplicationMessage.ClaimRequest(4, "x", id, "body", remaining, true));
        all.put("33-look", new ReplicationMessage.ClaimQuery(4, "x", id));
        all.put("34-answer-granted", claimReply(ReplicationMessage.ClaimVote.GRANTED));
        all.put("34-answer-free", claimReply(ReplicationMessage.ClaimVote.UNCLAIMED));
        all.put(
                "34-answer-held",
                new ReplicationMessage.ClaimReply(
                        4,
                        "x",
                        id,
                        ReplicationMessage.ClaimVote.CLAIMED_BY_OTHER,
                        Optional.of(other),
                        Optional.empty(),
                        17));
        all.put(
                "34-answer-done",
                new ReplicationMessage.ClaimReply(
                        4,
                        "x",
                        id,
                        ReplicationMessage.ClaimVote.COMPLETED,
                        Optional.of(other),
                        Optional.of(outcome),
                        -1));
        all.put("34-answer-stale", claimReply(ReplicationMessage.ClaimVote.STALE_EPOCH));
        all.put("34-answer-behind", claimReply(ReplicationMessage.ClaimVote.LAGGING));
        all.put("34-answer-released", claimReply(ReplicationMessage.ClaimVote.RELEASED));
        all.put("34-answer-full", claimReply(ReplicationMessage.ClaimVote.OVER_CAPACITY));
        all.put(
                "35-ended",
                new ReplicationMessage.ClaimCompleted(
                        4, "x", id, outcome, remaining, new TreeMap<>(Map.of("a", 5L, "b", 6L))));
        all.put(
                "35-ended-long",
                new ReplicationMessage.ClaimCompleted(
                        4,
                        "x",
                        id,
                        ClaimOutcome.chunked("body", "r".repeat(9_000)),
                        remaining,
                        Map.of()));
        all.put("36-kept", new ReplicationMessage.OutcomeStored(4, "x", id, 8));
        all.put("37-release", new ReplicationMessage.ClaimRelease("x", id, remaining));
        all.put("38-whether", new ReplicationMessage.OwnerQuery("x", id));
        all.put(
                "39-fetch-newest",
                new ReplicationMessage.RangeRequest(
                        4,
                        255,
                        3,
                        ReplicationMessage.WalkOrder.LATEST_EXPIRY,
                        new ReplicationMessage.RangeCursor(Long.MAX_VALUE, ""),
                        Optional.empty(),
                        List.of(7L, -7L),
                        Optional.of(placement)));
        byte[] cells = new byte[42];
        for (int i = 0; i < cells.length; i++) {
            cells[i] = (byte) (i * 7);
        }
        all.put(
                "39-fetch-token",
                new ReplicationMessage.RangeRequest(
                        4,
                        254,
                        3,
                        ReplicationMessage.WalkOrder.TOKEN_NAME,
                        new ReplicationMessage.RangeCursor(-5, "x"),
                        Optional.of(SetSketch.fromBytes(cells)),
                        List.of(),
                        Optional.empty()));
        all.put(
                "40-page",
                new ReplicationMessage.RangePage(
                        4,
                        1,
                        3,
                        List.of(transferredEntry),
                        new ReplicationMessage.RangeCursor(7, "y"),
                        true,
                        false,
                        true,
                        List.of(5L),
                        12,
                        -3));
        all.put("41-compare", new ReplicationMessage.RangeDigest(4, 7, -9, 3, true));
        all.put("42-recollect", new ReplicationMessage.ChangeNumberQuery(3));
        all.put("43-recollected", new ReplicationMessage.ChangeNumberReply(3, 9));
        all.put("44-want", new ReplicationMessage.ChunkRequest("x", id, 3_072));
        all.put("45-piece", new ReplicationMessage.Chunk("x", id, 3_072, "caf\u00e9"));
    }

    private static void addRolloutMessages(Map<String, Object> all) {
        VersionReport report =
                new VersionReport(
                        2,
                        HASH,
                        3,
                        "why",
                        4,
                        new VersionCounters(9, 1, 2, 3, 4.5, 9.25),
                        new VersionCounters(10, 4, 3, 2, 0, 0.125));
        all.put("48-tell", new RolloutMessage.StatusReport(7, report, 5, "d".repeat(64)));
        all.put("49-renewed", new RolloutMessage.LeaseReply(7, true));
        all.put("50-want-bytes", new RolloutMessage.ChunkRequest(HASH, 4_096));
        all.put("51-bytes", new RolloutMessage.Chunk(HASH, 4_096, new byte[] {1, 2, -1}));
        all.put("52-offer", new RolloutMessage.VersionOffer(HASH, 9));
        all.put("53-have", new RolloutMessage.VersionStored(HASH));
    }

    private static Map<String, Object> messages() {
        Map<String, Object> all = new LinkedHashMap<>();
        addMembershipMessages(all);
        addConsensusMessages(all);
        addReplicationMessages(all);
        addRolloutMessages(all);
        return all;
    }

    private static Map<String, AdminMessage> frames() {
        Map<String, AdminMessage> all = new LinkedHashMap<>();
        all.put("hello", new AdminMessage("parts", "0011223344556677", "hello", "n1"));
        all.put(
                "view",
                new AdminMessage("parts", "0011223344556677", "view", "caf\u00e9\nand more"));
        return all;
    }

    @Test
    void eachMessageIsWrittenAsItsGoldenBytes() {
        Map<String, byte[]> written = new LinkedHashMap<>();
        messages()
                .forEach(
                        (name, message) ->
                                written.put(name, codec.seal(SENDER, message, SEQUENCE)));
        PACKETS.assertMatches(written);
    }

    @Test
    void eachGoldenPacketIsReadBackToItsMessage() throws RejectedPacketException {
        for (Map.Entry<String, Object> each : messages().entrySet()) {
            byte[] bytes = PACKETS.bytes(each.getKey());
            assertThat(codec.open(bytes, bytes.length))
                    .as(each.getKey())
                    .isEqualTo(new ReceivedPacket(SENDER, each.getValue(), SEQUENCE, 0));
        }
    }

    @Test
    void eachKindOfMessageHasAGoldenPacket() {
        Set<Class<?>> covered =
                messages().values().stream().map(Object::getClass).collect(Collectors.toSet());
        for (Class<?> family : FAMILIES) {
            assertThat(covered).as(family.getName()).contains(family.getPermittedSubclasses());
        }
    }

    @Test
    void eachEnumValueSentByNumberHasAGoldenPacket() {
        Map<String, Object> all = messages();
        Set<Enum<?>> covered =
                all.values().stream()
                        .flatMap(
                                message -> {
                                    if (message instanceof ReplicationMessage.ClaimReply reply) {
                                        return Stream.<Enum<?>>of(reply.vote());
                                    }
                                    if (message instanceof ReplicationMessage.RangeRequest range) {
                                        return Stream.<Enum<?>>of(range.order());
                                    }
                                    if (message instanceof ConsensusMessage.Committed committed) {
                                        return Stream.<Enum<?>>of(
                                                committed.placement().rollout().phase());
                                    }
                                    if (message instanceof MembershipMessage.UpdatePage page) {
                                        return page.updates().stream()
                                                .<Enum<?>>map(MembershipUpdate::state);
                                    }
                                    return Stream.<Enum<?>>empty();
                                })
                        .collect(Collectors.toSet());
        assertThat(covered)
                .contains(ReplicationMessage.ClaimVote.values())
                .contains(ReplicationMessage.WalkOrder.values())
                .contains(RolloutPhase.values())
                .contains(MemberState.values());
    }

    @Test
    void adminFramesAreWrittenAsGoldenBytesAndReadBack() throws RejectedPacketException {
        Map<String, byte[]> written = new LinkedHashMap<>();
        frames().forEach((name, frame) -> written.put(name, SealedFrame.seal(KEYS, frame)));
        FRAMES.assertMatches(written);
        for (Map.Entry<String, AdminMessage> each : frames().entrySet()) {
            byte[] bytes = FRAMES.bytes(each.getKey());
            assertThat(SealedFrame.frameLength(bytes, bytes.length)).isEqualTo(bytes.length);
            assertThat(SealedFrame.open(KEYS, bytes)).as(each.getKey()).isEqualTo(each.getValue());
        }
    }
}
