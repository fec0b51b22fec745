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

/** Packets are decoded as they were encoded; altered, replayed or excess ones are rejected. */
class PacketCodecTest {
    private static final String KEY = "a key that is long enough";
    private final PacketCodec codec = new PacketCodec("parts", FleetKeys.of(KEY));
    private final Member sender =
            new Member(
                    new MemberId("n1", -5),
                    new PeerAddress("10.0.0.1", 4200),
                    "z1",
                    "0.1",
                    Optional.of(new PeerAddress("10.0.0.1", 4100)),
                    3,
                    MemberState.ALIVE);
    private final MembershipMessage.Gossip gossip =
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

    private List<MembershipMessage> membershipMessages() {
        return List.of(
                new MembershipMessage.Ping(1, -2, gossip, Long.MIN_VALUE),
                new MembershipMessage.Ack(Long.MAX_VALUE, gossip, 5),
                new MembershipMessage.PingRequest(3, 4, new PeerAddress("10.0.0.9", 65535)),
                new MembershipMessage.IndirectAck(
                        9, new MembershipUpdate(1, 2, MemberState.ALIVE, 0)),
                new MembershipMessage.DigestSync(List.of(1L, -1L, 0L), true),
                new MembershipMessage.UpdatePage(gossip.updates()),
                new MembershipMessage.MemberRequest(List.of(4L, 5L)),
                new MembershipMessage.MemberPage(gossip.members()));
    }

    private static void assertRejected(ThrowingCallable call, RejectReason expectedReason) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        RejectedPacketException.class,
                        e -> assertThat(e.reason()).isEqualTo(expectedReason));
    }

    @Test
    void membershipMessagesAreDecodedAsEncoded() throws RejectedPacketException {
        for (MembershipMessage message : membershipMessages()) {
            byte[] bytes = codec.seal(new MembershipPacket(sender, message), 77);
            ReceivedPacket opened = codec.open(bytes, bytes.length);
            assertThat(opened.asMembershipPacket())
                    .isEqualTo(new MembershipPacket(sender, message));
            assertThat(opened.sequence()).isEqualTo(77);
        }
    }

    private static List<Object> otherMessages() {
        ClaimId id = new ClaimId("s", -7, 3);
        ClaimOutcome outcome = new ClaimOutcome(true, "body", "caf\u00e9");
        ReplicaPlacement placement =
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
        List<ReplicationMessage.TransferredEntry> entries =
                List.of(
                        new ReplicationMessage.TransferredEntry("x", entry, Duration.ofMillis(5)),
                        new ReplicationMessage.TransferredEntry("y", entry, Duration.ofMillis(6)));
        return List.of(
                new ConsensusMessage.Prepare(1, ballot),
                new ConsensusMessage.Promise(1, ballot, Ballot.NONE, Optional.empty()),
                new ConsensusMessage.Promise(1, ballot, ballot, Optional.of(placement)),
                new ConsensusMessage.Accept(1, ballot, placement),
                new ConsensusMessage.Accepted(1, ballot),
                new ConsensusMessage.Nack(1, ballot, ballot),
                new ConsensusMessage.Committed(placement),
                new ConsensusMessage.RecoveryQuery(9),
                new ConsensusMessage.RecoveryReply(9, 8, placement),
                new ConsensusMessage.StateLost(1, -2),
                new ConsensusMessage.AllStateLost(Map.of("a", 1L, "b", -2L)),
                new ConsensusMessage.ReplicaProgress(4, 17),
                new ReplicationMessage.ClaimRequest(4, "x", id, "body", Duration.ofMillis(7)),
                new ReplicationMessage.ClaimQuery(4, "x", id),
                new ReplicationMessage.ClaimReply(
                        4,
                        "x",
                        id,
                        ReplicationMessage.ClaimVote.CLAIMED_BY_OTHER,
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
                        Optional.of(placement)),
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
                        entries,
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
                        placement.with(
                                new RolloutState(
                                        new PublishedVersion(
                                                2, "c".repeat(64), 10, "1.2", "ann", "why"),
                                        PublishedVersion.NONE,
                                        1,
                                        RolloutPhase.PAUSED))));
    }

    @Test
    void otherMessagesAreDecodedAsEncodedAndAlteredOnesAreDecodedOrRejected()
            throws RejectedPacketException {
        for (Object message : otherMessages()) {
            byte[] bytes = codec.seal(sender, message, 5);
            assertThat(codec.open(bytes, bytes.length).message()).isEqualTo(message);
            for (int i = 6; i < bytes.length - FleetKeys.SEAL_BYTES; i++) {
                byte[] altered = bytes.clone();
                altered[i] ^= 0x15;
                reseal(altered);
                try {
                    codec.open(altered, altered.length);
                } catch (RejectedPacketException e) {
                    assertThat(e.reason())
                            .isIn(
                                    RejectReason.MALFORMED,
                                    RejectReason.UNKNOWN_KIND,
                                    RejectReason.OTHER_FLEET);
                }
            }
        }
    }

    @Test
    void largestPlacementFitsInOnePacket() throws RejectedPacketException {
        for (int length : new int[] {1, 6, 30, 64}) {
            ReplicaPlacement placement = ReplicaPlacement.empty(3);
            for (int i = 0; i < 1_000 && placement.with(server(i, length)).fitsInPacket(); i++) {
                placement = placement.with(server(i, length));
            }
            assertThat(placement.servers().size())
                    .isGreaterThan(15)
                    .isLessThanOrEqualTo(ReplicaPlacement.MAX_SERVERS);
            byte[] bytes =
                    codec.seal(
                            sender,
                            new ReplicationMessage.RangeRequest(
                                    placement.epoch(),
                                    255,
                                    Long.MAX_VALUE,
                                    ReplicationMessage.WalkOrder.TOKEN_NAME,
                                    new ReplicationMessage.RangeCursor(-5, "x".repeat(200)),
                                    Optional.of(SetSketch.fromBytes(new byte[24 * 14])),
                                    List.of(),
                                    Optional.of(placement)),
                            Long.MAX_VALUE);
            assertThat(codec.open(bytes, bytes.length).message()).isNotNull();
        }
    }

    private static ReplicaServer server(int number, int length) {
        return new ReplicaServer(
                number + "n".repeat(Math.max(0, length - 3)),
                "z" + "z".repeat(Math.max(0, length - 2)) + number % 3);
    }

    @Test
    void tokenThatDoesNotFitAStoreKeyIsRejected() {
        byte[] bytes =
                codec.seal(
                        sender,
                        new ReplicationMessage.ClaimQuery(
                                1, "\u20ac".repeat(90), new ClaimId("s", 1, 1)),
                        5);
        assertThatThrownBy(() -> codec.open(bytes, bytes.length))
                .isInstanceOf(RejectedPacketException.class);
    }

    @Test
    void eachAlteredByteAndEachTruncationIsRejected() {
        byte[] packet = codec.seal(new MembershipPacket(sender, membershipMessages().get(0)), 1);
        for (int i = 0; i < packet.length; i++) {
            byte[] altered = packet.clone();
            altered[i] ^= 0x41;
            assertThatThrownBy(() -> codec.open(altered, altered.length))
                    .isInstanceOf(RejectedPacketException.class);
        }
        for (int length = 0; length < packet.length; length++) {
            int truncatedLength = length;
            assertThatThrownBy(
                            () ->
                                    codec.open(
                                            Arrays.copyOf(packet, truncatedLength),
                                            truncatedLength))
                    .isInstanceOf(RejectedPacketException.class);
        }
    }

    @Test
    void packetsOfAnotherKeyOrFleetAreRejectedWithTheirReason() {
        byte[] otherKey =
                new PacketCodec("parts", FleetKeys.of("a key of somebody else's"))
                        .seal(new MembershipPacket(sender, membershipMessages().get(0)), 1);
        assertRejected(() -> codec.open(otherKey, otherKey.length), RejectReason.INVALID_SEAL);
        byte[] otherFleet =
                new PacketCodec("orders", FleetKeys.of(KEY))
                        .seal(new MembershipPacket(sender, membershipMessages().get(0)), 1);
        assertRejected(() -> codec.open(otherFleet, otherFleet.length), RejectReason.OTHER_FLEET);
    }

    @Test
    void keyRotationLosesNoPacket() throws RejectedPacketException {
        PacketCodec newKeyFirst =
                new PacketCodec("parts", FleetKeys.of("the key that comes next", KEY));
        byte[] oldSeal = codec.seal(new MembershipPacket(sender, membershipMessages().get(0)), 1);
        assertThat(newKeyFirst.open(oldSeal, oldSeal.length).asMembershipPacket().sender())
                .isEqualTo(sender);
        PacketCodec newKeyLast =
                new PacketCodec("parts", FleetKeys.of(KEY, "the key that comes next"));
        byte[] newSeal =
                newKeyFirst.seal(new MembershipPacket(sender, membershipMessages().get(0)), 1);
        assertThat(newKeyLast.open(newSeal, newSeal.length).asMembershipPacket().sender())
                .isEqualTo(sender);
    }

    /** Replaces the seal of an altered packet, as only a holder of the key can. */
    private byte[] reseal(byte[] bytes) {
        int body = bytes.length - FleetKeys.SEAL_BYTES;
        System.arraycopy(FleetKeys.of(KEY).seal(bytes, body), 0, bytes, body, FleetKeys.SEAL_BYTES);
        return bytes;
    }

    @Test
    void newerPacketIsAcceptedIfItsMinimumVersionIsSupported() throws RejectedPacketException {
        byte[] newer = codec.seal(new MembershipPacket(sender, membershipMessages().get(0)), 1);
        newer[2] = 9;
        assertThat(codec.open(reseal(newer), newer.length).asMembershipPacket().sender())
                .isEqualTo(sender);
        newer[3] = 9;
        assertRejected(
                () -> codec.open(reseal(newer), newer.length), RejectReason.UNSUPPORTED_VERSION);
    }

    @Test
    void randomBytesWithValidSealAreDecodedOrRejected() {
        SplittableRandom random = new SplittableRandom(3);
        List<byte[]> packets = new ArrayList<>();
        for (MembershipMessage message : membershipMessages()) {
            packets.add(codec.seal(new MembershipPacket(sender, message), 1));
        }
        int accepted = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = packets.get(i % packets.size()).clone();
            for (int changes = 1 + random.nextInt(3); changes > 0; changes--) {
                bytes[6 + random.nextInt(bytes.length - 6 - FleetKeys.SEAL_BYTES)] =
                        (byte) random.nextInt();
            }
            reseal(bytes);
            try {
                codec.open(bytes, bytes.length);
                accepted++;
            } catch (RejectedPacketException e) {
                assertThat(e.reason())
                        .isIn(
                                RejectReason.MALFORMED,
                                RejectReason.UNKNOWN_KIND,
                                RejectReason.OTHER_FLEET);
            }
        }
        assertThat(accepted).as("some changes alter only a number").isPositive();
    }

    @Test
    void packetIsAcceptedOnceInAnyOrder() {
        ReplayWindow window = new ReplayWindow();
        List<Long> sequences = new ArrayList<>();
        for (long i = 1; i <= 500; i++) {
            sequences.add(i);
        }
        java.util.Collections.shuffle(sequences, new java.util.Random(1));
        for (long i : sequences) {
            assertThat(window.markReceived(5, i)).isTrue();
        }
        for (long i : sequences) {
            assertThat(window.markReceived(5, i)).isFalse();
        }
        assertThat(window.markReceived(6, 3)).as("another incarnation").isTrue();
        assertThat(window.markReceived(5, 100_000)).isTrue();
        assertThat(window.markReceived(5, 501)).as("older than the window").isFalse();
        assertThat(window.markReceived(5, 0)).isFalse();
    }

    @Test
    void floodIsLimitedAndDoesNotAffectOtherSources() {
        PeerRateLimiter rateLimiter = new PeerRateLimiter(0);
        InetSocketAddress floodSource = new InetSocketAddress("127.0.0.1", 1);
        int accepted = 0;
        for (int i = 0; i < 10_000; i++) {
            if (rateLimiter.tryAcquire(floodSource, 100, 1_000_000)) {
                accepted++;
            }
        }
        assertThat(accepted).isBetween(1_800, 2_100);
        assertThat(rateLimiter.tryAcquire(new InetSocketAddress("127.0.0.1", 2), 100, 1_000_000))
                .isTrue();
    }
}
