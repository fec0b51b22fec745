package ochretiller.fleet.peers;

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
import ochretiller.fleet.copies.ClaimId;
import ochretiller.fleet.copies.CopyMessage;
import ochretiller.fleet.copies.Outcome;
import ochretiller.fleet.copies.Sketch;
import ochretiller.fleet.epochs.Ballot;
import ochretiller.fleet.epochs.EpochMessage;
import ochretiller.fleet.epochs.Layout;
import ochretiller.fleet.epochs.Rollout;
import ochretiller.fleet.members.Address;
import ochretiller.fleet.members.Entry;
import ochretiller.fleet.members.Member;
import ochretiller.fleet.members.MemberId;
import ochretiller.fleet.members.Message;
import ochretiller.fleet.members.Packet;
import ochretiller.fleet.members.State;
import ochretiller.fleet.versions.Counts;
import ochretiller.fleet.versions.Report;
import ochretiller.fleet.versions.VersionMessage;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;

/** The envelope: what goes in comes out, and nothing else is taken. */
class CodecTest {
    private static final String KEY = "a key that is long enough";
    private final Codec codec = new Codec("parts", FleetKeys.of(KEY));
    private final Member from =
            new Member(
                    new MemberId("n1", -5),
                    new Address("10.0.0.1", 4200),
                    "z1",
                    "0.1",
                    new Address("10.0.0.1", 4100),
                    3,
                    State.HERE);
    private final Message.News news =
            new Message.News(
                    List.of(new Entry(-9, 4, State.SUSPECT, 8), new Entry(7, 1, State.LEFT, 0)),
                    List.of(
                            new Member(
                                    new MemberId("n2", 6),
                                    new Address("10.0.0.2", 4200),
                                    "",
                                    "",
                                    null,
                                    0,
                                    State.JOINING)));

    private List<Message> all() {
        return List.of(
                new Message.Ping(1, -2, news, Long.MIN_VALUE),
                new Message.Ack(Long.MAX_VALUE, news, 5),
                new Message.Ask(3, 4, new Address("10.0.0.9", 65535)),
                new Message.Reached(9, new Entry(1, 2, State.HERE, 0)),
                new Message.Sync(List.of(1L, -1L, 0L), true),
                new Message.States(news.entries()),
                new Message.Want(List.of(4L, 5L)),
                new Message.Full(news.full()));
    }

    private static void refused(ThrowingCallable call, Refused why) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        RefusedException.class, e -> assertThat(e.why()).isEqualTo(why));
    }

    @Test
    void eachKindComesBackAsItWas() throws RefusedException {
        for (Message message : all()) {
            byte[] bytes = codec.seal(new Packet(from, message), 77);
            Codec.Opened opened = codec.open(bytes, bytes.length);
            assertThat(opened.packet()).isEqualTo(new Packet(from, message));
            assertThat(opened.sequence()).isEqualTo(77);
        }
    }

    private static List<Object> aboutCopies() {
        ClaimId id = new ClaimId("s", -7, 3);
        Outcome outcome = new Outcome(true, "body", "caf\u00e9");
        Layout layout =
                new Layout(
                        4,
                        List.of(new Layout.Server("a", "1"), new Layout.Server("b", "")),
                        List.of(new Layout.Server("a", "1")),
                        3);
        Ballot ballot = new Ballot(2, "a");
        ochretiller.fleet.copies.Entry entry =
                new ochretiller.fleet.copies.Entry(
                        Map.of(id, "body"),
                        Set.of(new ClaimId("t", 1, 1)),
                        Map.of(id, outcome),
                        Duration.ZERO);
        List<CopyMessage.Item> items =
                List.of(
                        new CopyMessage.Item("x", entry, Duration.ofMillis(5)),
                        new CopyMessage.Item("y", entry, Duration.ofMillis(6)));
        return List.of(
                new EpochMessage.Prepare(1, ballot),
                new EpochMessage.Promise(1, ballot, Ballot.NONE, null),
                new EpochMessage.Promise(1, ballot, ballot, layout),
                new EpochMessage.Accept(1, ballot, layout),
                new EpochMessage.Accepted(1, ballot),
                new EpochMessage.Refused(1, ballot, ballot),
                new EpochMessage.Agreed(layout),
                new EpochMessage.WhatIsOpen(9),
                new EpochMessage.Open(9, 8, layout),
                new EpochMessage.Blank(1, -2),
                new EpochMessage.Fresh(Map.of("a", 1L, "b", -2L)),
                new EpochMessage.Standing(4, 17),
                new CopyMessage.Claim(4, "x", id, "body", Duration.ofMillis(7)),
                new CopyMessage.Look(4, "x", id),
                new CopyMessage.Answer(
                        4, "x", id, CopyMessage.Word.HELD, Optional.of(id), Optional.empty(), 17),
                new CopyMessage.Answer(
                        4,
                        "x",
                        id,
                        CopyMessage.Word.DONE,
                        Optional.empty(),
                        Optional.of(outcome),
                        -1),
                new CopyMessage.Ended(
                        4,
                        "x",
                        id,
                        Outcome.apart("body", "r".repeat(9_000)),
                        Duration.ofMillis(7),
                        Map.of("a", 5L)),
                new CopyMessage.Kept(4, "x", id, 8),
                new CopyMessage.Release("x", id, Duration.ofMillis(7)),
                new CopyMessage.Whether("x", id),
                new CopyMessage.Fetch(
                        4,
                        255,
                        3,
                        CopyMessage.Order.NEWEST,
                        new CopyMessage.Place(Long.MAX_VALUE, ""),
                        null,
                        List.of(7L, -7L),
                        layout),
                new CopyMessage.Fetch(
                        4,
                        255,
                        3,
                        CopyMessage.Order.TOKEN,
                        new CopyMessage.Place(-5, "x"),
                        Sketch.of(new byte[42]),
                        List.of(),
                        null),
                new CopyMessage.Page(
                        4,
                        0,
                        3,
                        items,
                        new CopyMessage.Place(7, "y"),
                        true,
                        false,
                        true,
                        List.of(5L),
                        12,
                        -3),
                new CopyMessage.Compare(4, 7, -9, 3, true),
                new CopyMessage.Recollect(3),
                new CopyMessage.Recollected(3, 9),
                new CopyMessage.Want("x", id, 3_072),
                new CopyMessage.Piece("x", id, 3_072, "caf\u00e9"),
                new VersionMessage.Tell(
                        7,
                        new Report(
                                2,
                                "a".repeat(64),
                                3,
                                "why",
                                3,
                                new Counts(9, 1, 2, 3, 4.5, 9),
                                Counts.NONE),
                        5,
                        "d".repeat(64)),
                new VersionMessage.Renewed(7, true),
                new VersionMessage.WantBytes("b".repeat(64), 4_096),
                new VersionMessage.Bytes("b".repeat(64), 4_096, new byte[] {1, 2}),
                new VersionMessage.Offer("b".repeat(64), 9),
                new VersionMessage.Have("b".repeat(64)),
                new EpochMessage.Agreed(
                        layout.with(
                                new Rollout(
                                        new Rollout.Version(
                                                2, "c".repeat(64), 10, "1.2", "ann", "why"),
                                        Rollout.Version.NONE,
                                        1,
                                        Rollout.State.PAUSED))));
    }

    @Test
    void whatIsSaidOfEpochsAndTokensComesBackAsItWas() throws RefusedException {
        for (Object message : aboutCopies()) {
            byte[] bytes = codec.seal(from, message, 5);
            assertThat(codec.open(bytes, bytes.length).body()).isEqualTo(message);
            for (int i = 6; i < bytes.length - FleetKeys.SEAL; i++) {
                byte[] bad = bytes.clone();
                bad[i] ^= 0x15;
                sealed(bad);
                try {
                    codec.open(bad, bad.length);
                } catch (RefusedException e) {
                    assertThat(e.why()).isIn(Refused.MALFORMED, Refused.KIND, Refused.OTHER_FLEET);
                }
            }
        }
    }

    @Test
    void theLargestLayoutThatIsWishedForGoesInOnePacket() throws RefusedException {
        for (int length : new int[] {1, 6, 30, 64}) {
            Layout layout = Layout.none(3);
            for (int i = 0; i < 1_000 && layout.with(longest(i, length)).fits(); i++) {
                layout = layout.with(longest(i, length));
            }
            assertThat(layout.servers().size()).isGreaterThan(15).isLessThanOrEqualTo(Layout.MOST);
            byte[] bytes =
                    codec.seal(
                            from,
                            new CopyMessage.Fetch(
                                    layout.epoch(),
                                    255,
                                    Long.MAX_VALUE,
                                    CopyMessage.Order.TOKEN,
                                    new CopyMessage.Place(-5, "x".repeat(200)),
                                    Sketch.of(new byte[24 * 14]),
                                    List.of(),
                                    layout),
                            Long.MAX_VALUE);
            assertThat(codec.open(bytes, bytes.length).body()).isNotNull();
        }
    }

    private static Layout.Server longest(int number, int length) {
        return new Layout.Server(
                number + "n".repeat(Math.max(0, length - 3)),
                "z" + "z".repeat(Math.max(0, length - 2)) + number % 3);
    }

    @Test
    void aTokenThatNoKeyHasRoomForIsRefused() {
        byte[] bytes =
                codec.seal(
                        from,
                        new CopyMessage.Look(1, "\u20ac".repeat(90), new ClaimId("s", 1, 1)),
                        5);
        assertThatThrownBy(() -> codec.open(bytes, bytes.length))
                .isInstanceOf(RefusedException.class);
    }

    @Test
    void eachByteThatIsAnotherIsRefused() {
        byte[] good = codec.seal(new Packet(from, all().get(0)), 1);
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 0x41;
            assertThatThrownBy(() -> codec.open(bad, bad.length))
                    .isInstanceOf(RefusedException.class);
        }
        for (int length = 0; length < good.length; length++) {
            int cut = length;
            assertThatThrownBy(() -> codec.open(Arrays.copyOf(good, cut), cut))
                    .isInstanceOf(RefusedException.class);
        }
    }

    @Test
    void anotherKeyOrFleetIsNamed() {
        byte[] other =
                new Codec("parts", FleetKeys.of("a key of somebody else's"))
                        .seal(new Packet(from, all().get(0)), 1);
        refused(() -> codec.open(other, other.length), Refused.FORGED);
        byte[] fleet =
                new Codec("orders", FleetKeys.of(KEY)).seal(new Packet(from, all().get(0)), 1);
        refused(() -> codec.open(fleet, fleet.length), Refused.OTHER_FLEET);
    }

    @Test
    void aKeyIsChangedWithoutAPacketLost() throws RefusedException {
        Codec both = new Codec("parts", FleetKeys.of("the key that comes next", KEY));
        byte[] old = codec.seal(new Packet(from, all().get(0)), 1);
        assertThat(both.open(old, old.length).packet().from()).isEqualTo(from);
        Codec adds = new Codec("parts", FleetKeys.of(KEY, "the key that comes next"));
        byte[] next = both.seal(new Packet(from, all().get(0)), 1);
        assertThat(adds.open(next, next.length).packet().from()).isEqualTo(from);
    }

    /** What stands between head and seal, sealed anew: only somebody with the key can write it. */
    private byte[] sealed(byte[] bytes) {
        int body = bytes.length - FleetKeys.SEAL;
        System.arraycopy(FleetKeys.of(KEY).seal(bytes, body), 0, bytes, body, FleetKeys.SEAL);
        return bytes;
    }

    @Test
    void aNewerProgramIsHeardWhereItAllowsIt() throws RefusedException {
        byte[] newer = codec.seal(new Packet(from, all().get(0)), 1);
        newer[2] = 9;
        assertThat(codec.open(sealed(newer), newer.length).packet().from()).isEqualTo(from);
        newer[3] = 9;
        refused(() -> codec.open(sealed(newer), newer.length), Refused.NEWER);
    }

    @Test
    void noBytesHoweverSealedDoHarm() {
        SplittableRandom chance = new SplittableRandom(3);
        List<byte[]> good = new ArrayList<>();
        for (Message message : all()) {
            good.add(codec.seal(new Packet(from, message), 1));
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
            } catch (RefusedException e) {
                assertThat(e.why()).isIn(Refused.MALFORMED, Refused.KIND, Refused.OTHER_FLEET);
            }
        }
        assertThat(taken).as("some spoil a number only").isPositive();
    }

    @Test
    void aPacketIsTakenOnceInAnyOrder() {
        Window window = new Window();
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
        PeerBudget budget = new PeerBudget(0);
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
