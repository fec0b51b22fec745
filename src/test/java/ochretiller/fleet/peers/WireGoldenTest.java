package ochretiller.fleet.peers;

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
import ochretiller.fleet.members.State;
import ochretiller.fleet.versions.Counts;
import ochretiller.fleet.versions.Report;
import ochretiller.fleet.versions.VersionMessage;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/**
 * Each message of the fleet as it is on the wire, seal and all, by {@code docs/fleet-wire.md}. The
 * names of the lines are the kind's number and the page's word for it.
 */
class WireGoldenTest {
    private static final GoldenFile PACKETS = new GoldenFile("fleet-packets");
    private static final GoldenFile FRAMES = new GoldenFile("fleet-frames");
    private static final List<Class<?>> FAMILIES =
            List.of(Message.class, EpochMessage.class, CopyMessage.class, VersionMessage.class);
    private static final long SEQUENCE = 77;
    private static final FleetKeys KEYS = FleetKeys.of("a key that is long enough");
    private static final String HASH = "0123456789abcdef".repeat(4);
    private static final Member SENDER =
            new Member(
                    new MemberId("n1", -5),
                    new Address("10.0.0.1", 4200),
                    "z1",
                    "0.1",
                    new Address("10.0.0.1", 4100),
                    3,
                    State.HERE);

    private final Codec codec = new Codec("parts", KEYS);

    private static Map<State, Entry> entries() {
        Map<State, Entry> entries = new EnumMap<>(State.class);
        entries.put(State.JOINING, new Entry(11, 1, State.JOINING, 0));
        entries.put(State.HERE, new Entry(12, 2, State.HERE, 0));
        entries.put(State.SUSPECT, new Entry(-13, 3, State.SUSPECT, 8));
        entries.put(State.SILENT, new Entry(14, 4, State.SILENT, 0));
        entries.put(State.LEFT, new Entry(15, 5, State.LEFT, 0));
        return entries;
    }

    private static void addMembers(Map<String, Object> all) {
        List<Entry> entries = new ArrayList<>(entries().values());
        Member other =
                new Member(
                        new MemberId("n2", 6),
                        new Address("10.0.0.2", 4201),
                        "z2",
                        "0.2",
                        null,
                        0,
                        State.JOINING);
        Message.News news = new Message.News(entries.subList(2, 4), List.of(other));
        all.put("1-ping", new Message.Ping(1, -2, news, Long.MIN_VALUE));
        all.put("2-ack", new Message.Ack(Long.MAX_VALUE, news, 5));
        all.put("3-ask", new Message.Ask(3, 4, new Address("10.0.0.9", 65535)));
        all.put("4-reached", new Message.Reached(9, entries.get(1)));
        all.put("5-sync", new Message.Sync(List.of(1L, -1L, 0L), true));
        all.put("6-states", new Message.States(entries));
        all.put("7-want", new Message.Want(List.of(4L, 5L)));
        all.put("8-full", new Message.Full(List.of(other, SENDER)));
    }

    private static Layout layout(Rollout.State state) {
        Layout.Server a = new Layout.Server("a", "z1");
        Layout.Server b = new Layout.Server("b", "z2");
        Layout.Server c = new Layout.Server("c", "");
        Rollout.Version from = new Rollout.Version(2, HASH, 10, "1.2", "ann", "first");
        Rollout.Version to = new Rollout.Version(3, "f".repeat(64), 11, "1.3", "bob", "caf\u00e9");
        return new Layout(4, List.of(a, b), List.of(b, c), 3, new Rollout(to, from, 1, state));
    }

    private static void addEpochs(Map<String, Object> all) {
        Layout layout = layout(Rollout.State.RUNS);
        Ballot low = new Ballot(2, "a");
        Ballot high = new Ballot(3, "b");
        all.put("16-prepare", new EpochMessage.Prepare(5, low));
        all.put("17-promise-of-none", new EpochMessage.Promise(5, low, Ballot.NONE, null));
        all.put("17-promise", new EpochMessage.Promise(5, high, low, layout));
        all.put("18-accept", new EpochMessage.Accept(5, low, layout));
        all.put("19-accepted", new EpochMessage.Accepted(5, low));
        all.put("20-refused", new EpochMessage.Refused(5, low, high));
        all.put("21-agreed-runs", new EpochMessage.Agreed(layout));
        all.put("21-agreed-paused", new EpochMessage.Agreed(layout(Rollout.State.PAUSED)));
        all.put("21-agreed-halted", new EpochMessage.Agreed(layout(Rollout.State.HALTED)));
        all.put("21-agreed-done", new EpochMessage.Agreed(layout(Rollout.State.DONE)));
        all.put("22-what-is-open", new EpochMessage.WhatIsOpen(9));
        all.put("23-open", new EpochMessage.Open(9, 8, layout));
        all.put("24-blank", new EpochMessage.Blank(1, -2));
        all.put("25-fresh", new EpochMessage.Fresh(new TreeMap<>(Map.of("a", 1L, "b", -2L))));
        all.put("26-standing", new EpochMessage.Standing(4, 17));
    }

    private static CopyMessage.Answer answer(CopyMessage.Word word) {
        ClaimId id = new ClaimId("s", -7, 3);
        return new CopyMessage.Answer(4, "x", id, word, Optional.empty(), Optional.empty(), 17);
    }

    private static void addCopies(Map<String, Object> all) {
        ClaimId id = new ClaimId("s", -7, 3);
        ClaimId other = new ClaimId("t", 8, 1);
        Duration left = Duration.ofMillis(1_007);
        Outcome outcome = new Outcome(true, "body", "caf\u00e9");
        Outcome failed = new Outcome(false, "other body", "");
        Layout layout = layout(Rollout.State.DONE);
        CopyMessage.Item item =
                new CopyMessage.Item(
                        "x",
                        new ochretiller.fleet.copies.Entry(
                                new TreeMap<>(Map.of(id, "body", other, "b")),
                                Set.of(new ClaimId("u", 1, 2)),
                                new TreeMap<>(Map.of(id, outcome, other, failed)),
                                Duration.ZERO),
                        left);
        all.put("32-claim", new CopyMessage.Claim(4, "x", id, "body", left, true));
        all.put("33-look", new CopyMessage.Look(4, "x", id));
        all.put("34-answer-granted", answer(CopyMessage.Word.GRANTED));
        all.put("34-answer-free", answer(CopyMessage.Word.FREE));
        all.put(
                "34-answer-held",
                new CopyMessage.Answer(
                        4,
                        "x",
                        id,
                        CopyMessage.Word.HELD,
                        Optional.of(other),
                        Optional.empty(),
                        17));
        all.put(
                "34-answer-done",
                new CopyMessage.Answer(
                        4,
                        "x",
                        id,
                        CopyMessage.Word.DONE,
                        Optional.of(other),
                        Optional.of(outcome),
                        -1));
        all.put("34-answer-stale", answer(CopyMessage.Word.STALE));
        all.put("34-answer-behind", answer(CopyMessage.Word.BEHIND));
        all.put("34-answer-released", answer(CopyMessage.Word.RELEASED));
        all.put("34-answer-full", answer(CopyMessage.Word.FULL));
        all.put(
                "35-ended",
                new CopyMessage.Ended(
                        4, "x", id, outcome, left, new TreeMap<>(Map.of("a", 5L, "b", 6L))));
        all.put(
                "35-ended-long",
                new CopyMessage.Ended(
                        4, "x", id, Outcome.apart("body", "r".repeat(9_000)), left, Map.of()));
        all.put("36-kept", new CopyMessage.Kept(4, "x", id, 8));
        all.put("37-release", new CopyMessage.Release("x", id, left));
        all.put("38-whether", new CopyMessage.Whether("x", id));
        all.put(
                "39-fetch-newest",
                new CopyMessage.Fetch(
                        4,
                        255,
                        3,
                        CopyMessage.Order.NEWEST,
                        new CopyMessage.Place(Long.MAX_VALUE, ""),
                        null,
                        List.of(7L, -7L),
                        layout));
        byte[] cells = new byte[42];
        for (int i = 0; i < cells.length; i++) {
            cells[i] = (byte) (i * 7);
        }
        all.put(
                "39-fetch-token",
                new CopyMessage.Fetch(
                        4,
                        254,
                        3,
                        CopyMessage.Order.TOKEN,
                        new CopyMessage.Place(-5, "x"),
                        Sketch.of(cells),
                        List.of(),
                        null));
        all.put(
                "40-page",
                new CopyMessage.Page(
                        4,
                        1,
                        3,
                        List.of(item),
                        new CopyMessage.Place(7, "y"),
                        true,
                        false,
                        true,
                        List.of(5L),
                        12,
                        -3));
        all.put("41-compare", new CopyMessage.Compare(4, 7, -9, 3, true));
        all.put("42-recollect", new CopyMessage.Recollect(3));
        all.put("43-recollected", new CopyMessage.Recollected(3, 9));
        all.put("44-want", new CopyMessage.Want("x", id, 3_072));
        all.put("45-piece", new CopyMessage.Piece("x", id, 3_072, "caf\u00e9"));
    }

    private static void addVersions(Map<String, Object> all) {
        Report report =
                new Report(
                        2,
                        HASH,
                        3,
                        "why",
                        4,
                        new Counts(9, 1, 2, 3, 4.5, 9.25),
                        new Counts(10, 4, 3, 2, 0, 0.125));
        all.put("48-tell", new VersionMessage.Tell(7, report, 5, "d".repeat(64)));
        all.put("49-renewed", new VersionMessage.Renewed(7, true));
        all.put("50-want-bytes", new VersionMessage.WantBytes(HASH, 4_096));
        all.put("51-bytes", new VersionMessage.Bytes(HASH, 4_096, new byte[] {1, 2, -1}));
        all.put("52-offer", new VersionMessage.Offer(HASH, 9));
        all.put("53-have", new VersionMessage.Have(HASH));
    }

    private static Map<String, Object> messages() {
        Map<String, Object> all = new LinkedHashMap<>();
        addMembers(all);
        addEpochs(all);
        addCopies(all);
        addVersions(all);
        return all;
    }

    private static Map<String, Sealed.Said> frames() {
        Map<String, Sealed.Said> all = new LinkedHashMap<>();
        all.put("hello", new Sealed.Said("parts", "0011223344556677", "hello", "n1"));
        all.put(
                "view",
                new Sealed.Said("parts", "0011223344556677", "view", "caf\u00e9\nand more"));
        return all;
    }

    @Test
    void eachMessageIsWrittenAsItsGoldenBytes() {
        Map<String, byte[]> written = new LinkedHashMap<>();
        messages()
                .forEach(
                        (name, message) ->
                                written.put(name, codec.seal(SENDER, message, SEQUENCE)));
        PACKETS.assertHolds(written);
    }

    @Test
    void eachGoldenPacketIsReadBackToItsMessage() throws RefusedException {
        for (Map.Entry<String, Object> each : messages().entrySet()) {
            byte[] bytes = PACKETS.bytes(each.getKey());
            assertThat(codec.open(bytes, bytes.length))
                    .as(each.getKey())
                    .isEqualTo(new Codec.Opened(SENDER, each.getValue(), SEQUENCE, 0));
        }
    }

    @Test
    void eachKindOfMessageHasAGoldenPacket() {
        Set<Class<?>> pinned =
                messages().values().stream().map(Object::getClass).collect(Collectors.toSet());
        for (Class<?> family : FAMILIES) {
            assertThat(pinned).as(family.getName()).contains(family.getPermittedSubclasses());
        }
    }

    @Test
    void eachValueThatIsSentAsItsNumberHasAGoldenPacket() {
        Map<String, Object> all = messages();
        Set<Enum<?>> pinned =
                all.values().stream()
                        .flatMap(
                                message -> {
                                    if (message instanceof CopyMessage.Answer answer) {
                                        return Stream.<Enum<?>>of(answer.word());
                                    }
                                    if (message instanceof CopyMessage.Fetch fetch) {
                                        return Stream.<Enum<?>>of(fetch.order());
                                    }
                                    if (message instanceof EpochMessage.Agreed agreed) {
                                        return Stream.<Enum<?>>of(
                                                agreed.layout().rollout().state());
                                    }
                                    if (message instanceof Message.States states) {
                                        return states.entries().stream().<Enum<?>>map(Entry::state);
                                    }
                                    return Stream.<Enum<?>>empty();
                                })
                        .collect(Collectors.toSet());
        assertThat(pinned)
                .contains(CopyMessage.Word.values())
                .contains(CopyMessage.Order.values())
                .contains(Rollout.State.values())
                .contains(State.values());
    }

    @Test
    void theOperatorsFramesAreWrittenAsTheirGoldenBytesAndReadBack() throws RefusedException {
        Map<String, byte[]> written = new LinkedHashMap<>();
        frames().forEach((name, said) -> written.put(name, Sealed.frame(KEYS, said)));
        FRAMES.assertHolds(written);
        for (Map.Entry<String, Sealed.Said> each : frames().entrySet()) {
            byte[] bytes = FRAMES.bytes(each.getKey());
            assertThat(Sealed.length(bytes, bytes.length)).isEqualTo(bytes.length);
            assertThat(Sealed.open(KEYS, bytes)).as(each.getKey()).isEqualTo(each.getValue());
        }
    }
}
