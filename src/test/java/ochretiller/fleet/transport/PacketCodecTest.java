package ochretiller.fleet.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
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
import ochretiller.fleet.membership.MembershipPacket;
import ochretiller.fleet.membership.MembershipUpdate;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.replication.ClaimId;
import ochretiller.fleet.replication.ClaimOutcome;
import ochretiller.fleet.replication.ReplicationMessage;
import ochretiller.fleet.replication.SetSketch;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.fleet.rollout.VersionCounters;
import ochretiller.fleet.rollout.VersionReport;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;

/** The envelope: what goes in comes out, and nothing else is taken. */
class PacketCodecTest {
    private static final String KEY = "a key that is long enough";
    private final PacketCodec codec = new PacketCodec("parts", FleetKeys.of(KEY));
    private final Member from =
            new Member(
                    new MemberId("n1", -5),
                    new PeerAddress("10.0.0.1", 4200),
                    "z1",
                    "0.1",
                    Optional.of(new PeerAddress("10.0.0.1", 4100)),
                    3,
                    MemberState.ALIVE);
    private final MembershipMessage.Gossip news =
            new MembershipMessage.Gossip(
                    List.of(
                            new MembershipUpdate(-9, 4, MemberState.SUSPECT, 8),
                            new MembershipUpdate(7, 1, MemberState.LEFT, 0)),
                    List.of(
                            new Member(
                                    new MemberId("n2", 6),
                                    new PeerAddress("10.0.0.2", 4200),
                                    "",
                                    "",
                                    Optional.empty(),
                                    0,
                                    MemberState.JOINING)));

    private List<MembershipMessage> all() {
        return List.of(
                new MembershipMessage.Ping(1, -2, news, Long.MIN_VALUE),
                new MembershipMessage.Ack(Long.MAX_VALUE, news, 5),
                new MembershipMessage.PingRequest(3, 4, new PeerAddress("10.0.0.9", 65535)),
                new MembershipMessage.IndirectAck(
                        9, new MembershipUpdate(1, 2, MemberState.ALIVE, 0)),
                new MembershipMessage.DigestSync(List.of(1L, -1L, 0L), true),
                new MembershipMessage.UpdatePage(news.updates()),
                new MembershipMessage.MemberRequest(List.of(4L, 5L)),
                new MembershipMessage.MemberPage(news.members()));
    }

    private static void refused(ThrowingCallable call, RejectReason why) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        RejectedPacketException.class, e -> assertThat(e.why()).isEqualTo(why));
    }

    @Test
    void eachKindComesBackAsItWas() throws RejectedPacketException {
        for (MembershipMessage message : all()) {
            byte[] bytes = codec.seal(new MembershipPacket(from, message), 77);
            PacketCodec.Opened opened = codec.open(bytes, bytes.length);
            assertThat(opened.packet()).isEqualTo(new MembershipPacket(from, message));
            assertThat(opened.sequence()).isEqualTo(77);
        }
    }

    private static List<Object> aboutCopies() {
        ClaimId id = new ClaimId("s", -7, 3);
        ClaimOutcome outcome = new ClaimOutcome(true, "body", "caf\u00e9");
        ReplicaPlacement layout =
                new ReplicaPlacement(
                        4,
                        List.of(new ReplicaServer("a", "1"), new ReplicaServer("b", "")),
                        List.of(new ReplicaServer("a", "1")),
                        3);
        Ballot ballot = new Ballot(2, "a");
        ochretiller.fleet.replication.ReplicaEntry entry =
                new ochretiller.fleet.replication.ReplicaEntry(
                        Map.of(id, "body"),
                        Set.of(new ClaimId("t", 1, 1)),
                        Map.of(id, outcome),
                        Duration.ZERO);
        List<ReplicationMessage.TransferredEntry> items =
                List.of(
                        new ReplicationMessage.TransferredEntry("x", entry, Duration.ofMillis(5)),
                        new ReplicationMessage.TransferredEntry("y", entry, Duration.ofMillis(6)));
        return List.of(
                new ConsensusMessage.Prepare(1, ballot),
                new ConsensusMessage.Promise(1, ballot, Ballot.NONE, Optional.empty()),
                new ConsensusMessage.Promise(1, ballot, ballot, Optional.of(layout)),
                new ConsensusMessage.Accept(1, ballot, layout),
                new ConsensusMessage.Accepted(1, ballot),
                new ConsensusMessage.Nack(1, ballot, ballot),
                new ConsensusMessage.Committed(layout),
                new ConsensusMessage.RecoveryQuery(9),
                new ConsensusMessage.RecoveryReply(9, 8, layout),
                new ConsensusMessage.StateLost(1, -2),
                new ConsensusMessage.AllStateLost(Map.of("a", 1L, "b", -2L)),
                new ConsensusMessage.ReplicaProgress(4, 17),
                new ReplicationMessage.ClaimRequest(4, "x", id, "body", Duration.ofMillis(7)),
                new ReplicationMessage.ClaimQuery(4, "x", id),
                new ReplicationMessage.ClaimReply(
                        4,
                        "x",
                        id,
                        ReplicationMessage.ClaimVote.HELD,
                        Optional.of(id),
                        Optional.empty(),
                        17),
                new ReplicationMessage.ClaimReply(
                        4,
                        "x",
                        id,
                        ReplicationMessage.ClaimVote.COMPLETED,
                        Optional.empty(),
                        Optional.of(outcome),
                        -1),
                new ReplicationMessage.ClaimCompleted(
                        4,
                        "x",
                        id,
                        ClaimOutcome.chunked("body", "r".repeat(9_000)),
                        Duration.ofMillis(7),
                        Map.of("a", 5L)),
                new ReplicationMessage.OutcomeStored(4, "x", id, 8),
                new ReplicationMessage.ClaimRelease("x", id, Duration.ofMillis(7)),
                new ReplicationMessage.OwnerQuery("x", id),
                new ReplicationMessage.RangeRequest(
                        4,
                        255,
                        3,
                        ReplicationMessage.WalkOrder.LATEST_EXPIRY,
                        new ReplicationMessage.RangeCursor(Long.MAX_VALUE, ""),
                        Optional.empty(),
                        List.of(7L, -7L),
                        Optional.of(layout)),
                new ReplicationMessage.RangeRequest(
                        4,
                        255,
                        3,
                        ReplicationMessage.WalkOrder.TOKEN_NAME,
                        new ReplicationMessage.RangeCursor(-5, "x"),
                        Optional.of(SetSketch.fromBytes(new byte[42])),
                        List.of(),
                        Optional.empty()),
                new ReplicationMessage.RangePage(
                        4,
                        0,
                        3,
                        items,
                        new ReplicationMessage.RangeCursor(7, "y"),
                        true,
                        false,
                        true,
                        List.of(5L),
                        12,
                        -3),
                new ReplicationMessage.RangeDigest(4, 7, -9, 3, true),
                new ReplicationMessage.ChangeNumberQuery(3),
                new ReplicationMessage.ChangeNumberReply(3, 9),
                new ReplicationMessage.ChunkRequest("x", id, 3_072),
                new ReplicationMessage.Chunk("x", id, 3_072, "caf\u00e9"),
                new RolloutMessage.StatusReport(
                        7,
                        new VersionReport(
                                2,
                                "a".repeat(64),
                                3,
                                "why",
                                3,
                                new VersionCounters(9, 1, 2, 3, 4.5, 9),
                                VersionCounters.ZERO),
                        5,
                        "d".repeat(64)),
                new RolloutMessage.LeaseReply(7, true),
                new RolloutMessage.ChunkRequest("b".repeat(64), 4_096),
                new RolloutMessage.Chunk("b".repeat(64), 4_096, new byte[] {1, 2}),
                new RolloutMessage.VersionOffer("b".repeat(64), 9),
                new RolloutMessage.VersionStored("b".repeat(64)),
                new ConsensusMessage.Committed(
                        layout.with(
                                new RolloutState(
                                        new PublishedVersion(
                                                2, "c".repeat(64), 10, "1.2", "ann", "why"),
                                        PublishedVersion.NONE,
                                        1,
                                        RolloutPhase.PAUSED))));
    }

    @Test
    void whatIsSaidOfEpochsAndTokensComesBackAsItWas() throws RejectedPacketException {
        for (Object message : aboutCopies()) {
            byte[] bytes = codec.seal(from, message, 5);
            assertThat(codec.open(bytes, bytes.length).body()).isEqualTo(message);
            for (int i = 6; i < bytes.length - FleetKeys.SEAL; i++) {
                byte[] bad = bytes.clone();
                bad[i] ^= 0x15;
                sealed(bad);
                try {
                    codec.open(bad, bad.length);
                } catch (RejectedPacketException e) {
                    assertThat(e.why())
                            .isIn(
                                    RejectReason.MALFORMED,
                                    RejectReason.KIND,
                                    RejectReason.OTHER_FLEET);
                }
            }
        }
    }

    @Test
    void theLargestLayoutThatIsWishedForGoesInOnePacket() throws RejectedPacketException {
        for (int length : new int[] {1, 6, 30, 64}) {
            ReplicaPlacement layout = ReplicaPlacement.empty(3);
            for (int i = 0; i < 1_000 && layout.with(longest(i, length)).fitsInPacket(); i++) {
                layout = layout.with(longest(i, length));
            }
            assertThat(layout.servers().size())
                    .isGreaterThan(15)
                    .isLessThanOrEqualTo(ReplicaPlacement.MAX_SERVERS);
            byte[] bytes =
                    codec.seal(
                            from,
                            new ReplicationMessage.RangeRequest(
                                    layout.epoch(),
                                    255,
                                    Long.MAX_VALUE,
                                    ReplicationMessage.WalkOrder.TOKEN_NAME,
                                    new ReplicationMessage.RangeCursor(-5, "x".repeat(200)),
                                    Optional.of(SetSketch.fromBytes(new byte[24 * 14])),
                                    List.of(),
                                    Optional.of(layout)),
                            Long.MAX_VALUE);
            assertThat(codec.open(bytes, bytes.length).body()).isNotNull();
        }
    }

    private static ReplicaServer longest(int number, int length) {
        return new ReplicaServer(
                number + "n".repeat(Math.max(0, length - 3)),
                "z" + "z".repeat(Math.max(0, length - 2)) + number % 3);
    }

    @Test
    void aTokenThatNoKeyHasRoomForIsRefused() {
        byte[] bytes =
                codec.seal(
                        from,
                        new ReplicationMessage.ClaimQuery(
                                1, "\u20ac".repeat(90), new ClaimId("s", 1, 1)),
                        5);
        assertThatThrownBy(() -> codec.open(bytes, bytes.length))
                .isInstanceOf(RejectedPacketException.class);
    }

    @Test
    void eachByteThatIsAnotherIsRefused() {
        byte[] good = codec.seal(new MembershipPacket(from, all().get(0)), 1);
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 0x41;
            assertThatThrownBy(() -> codec.open(bad, bad.length))
                    .isInstanceOf(RejectedPacketException.class);
        }
        for (int length = 0; length < good.length; length++) {
            int cut = length;
            assertThatThrownBy(() -> codec.open(Arrays.copyOf(good, cut), cut))
                    .isInstanceOf(RejectedPacketException.class);
        }
    }

    @Test
    void anotherKeyOrFleetIsNamed() {
        byte[] other =
                new PacketCodec("parts", FleetKeys.of("a key of somebody else's"))
                        .seal(new MembershipPacket(from, all().get(0)), 1);
        refused(() -> codec.open(other, other.length), RejectReason.FORGED);
        byte[] fleet =
                new PacketCodec("orders", FleetKeys.of(KEY))
                        .seal(new MembershipPacket(from, all().get(0)), 1);
        refused(() -> codec.open(fleet, fleet.length), RejectReason.OTHER_FLEET);
    }

    @Test
    void aKeyIsChangedWithoutAPacketLost() throws RejectedPacketException {
        PacketCodec both = new PacketCodec("parts", FleetKeys.of("the key that comes next", KEY));
        byte[] old = codec.seal(new MembershipPacket(from, all().get(0)), 1);
        assertThat(both.open(old, old.length).packet().sender()).isEqualTo(from);
        PacketCodec adds = new PacketCodec("parts", FleetKeys.of(KEY, "the key that comes next"));
        byte[] next = both.seal(new MembershipPacket(from, all().get(0)), 1);
        assertThat(adds.open(next, next.length).packet().sender()).isEqualTo(from);
    }

    /** What stands between head and seal, sealed anew: only somebody with the key can write it. */
    private byte[] sealed(byte[] bytes) {
        int body = bytes.length - FleetKeys.SEAL;
        System.arraycopy(FleetKeys.of(KEY).seal(bytes, body), 0, bytes, body, FleetKeys.SEAL);
        return bytes;
    }

    @Test
    void aNewerProgramIsHeardWhereItAllowsIt() throws RejectedPacketException {
        byte[] newer = codec.seal(new MembershipPacket(from, all().get(0)), 1);
        newer[2] = 9;
        assertThat(codec.open(sealed(newer), newer.length).packet().sender()).isEqualTo(from);
        newer[3] = 9;
        refused(() -> codec.open(sealed(newer), newer.length), RejectReason.NEWER);
    }

    @Test
    void noBytesHoweverSealedDoHarm() {
        SplittableRandom chance = new SplittableRandom(3);
        List<byte[]> good = new ArrayList<>();
        for (MembershipMessage message : all()) {
            good.add(codec.seal(new MembershipPacket(from, message), 1));
        }
        int taken = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = good.get(i % good.size()).clone();
            for (int hits = 1 + chance.nextInt(3); hits > 0; hits--) {
                bytes[6 + chance.nextInt(bytes.length - 6 - FleetKeys.SEAL)] =
                        (byte) chance.nextInt();
            }
            sealed(bytes);
            try {
                codec.open(bytes, bytes.length);
                taken++;
            } catch (RejectedPacketException e) {
                assertThat(e.why())
                        .isIn(RejectReason.MALFORMED, RejectReason.KIND, RejectReason.OTHER_FLEET);
            }
        }
        assertThat(taken).as("some spoil a number only").isPositive();
    }

    @Test
    void aPacketIsTakenOnceInAnyOrder() {
        ReplayWindow window = new ReplayWindow();
        List<Long> order = new ArrayList<>();
        for (long i = 1; i <= 500; i++) {
            order.add(i);
        }
        java.util.Collections.shuffle(order, new java.util.Random(1));
        for (long i : order) {
            assertThat(window.take(5, i)).isTrue();
        }
        for (long i : order) {
            assertThat(window.take(5, i)).isFalse();
        }
        assertThat(window.take(6, 3)).as("another start").isTrue();
        assertThat(window.take(5, 100_000)).isTrue();
        assertThat(window.take(5, 501)).as("too far behind").isFalse();
        assertThat(window.take(5, 0)).isFalse();
    }

    @Test
    void aFloodSpendsItsOwnBudget() {
        PeerRateLimiter budget = new PeerRateLimiter(0);
        InetSocketAddress loud = new InetSocketAddress("127.0.0.1", 1);
        int taken = 0;
        for (int i = 0; i < 10_000; i++) {
            if (budget.take(loud, 100, 1_000_000)) {
                taken++;
            }
        }
        assertThat(taken).isBetween(1_800, 2_100);
        assertThat(budget.take(new InetSocketAddress("127.0.0.1", 2), 100, 1_000_000)).isTrue();
    }
}
