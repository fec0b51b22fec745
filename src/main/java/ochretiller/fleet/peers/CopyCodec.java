package ochretiller.fleet.peers;

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
import ochretiller.fleet.copies.ClaimId;
import ochretiller.fleet.copies.CopyMessage;
import ochretiller.fleet.copies.Entry;
import ochretiller.fleet.copies.Outcome;
import ochretiller.fleet.copies.Sketch;
import ochretiller.fleet.epochs.Ballot;
import ochretiller.fleet.epochs.EpochMessage;
import ochretiller.fleet.epochs.Layout;
import ochretiller.fleet.epochs.Rollout;

/**
 * Bodies of what is said about epochs and tokens, kinds 16 to 47 of the envelope; {@code
 * docs/fleet-wire.md}.
 */
final class CopyCodec {
    private static final int EPOCHS = 16;
    private static final int COPIES = 32;
    private static final byte[] NONE = {};
    private static final List<Class<?>> EPOCH_KINDS =
            List.of(
                    EpochMessage.Prepare.class,
                    EpochMessage.Promise.class,
                    EpochMessage.Accept.class,
                    EpochMessage.Accepted.class,
                    EpochMessage.Refused.class,
                    EpochMessage.Agreed.class,
                    EpochMessage.WhatIsOpen.class,
                    EpochMessage.Open.class,
                    EpochMessage.Blank.class,
                    EpochMessage.Fresh.class,
                    EpochMessage.Standing.class);
    private static final List<Class<?>> COPY_KINDS =
            List.of(
                    CopyMessage.Claim.class,
                    CopyMessage.Look.class,
                    CopyMessage.Answer.class,
                    CopyMessage.Ended.class,
                    CopyMessage.Kept.class,
                    CopyMessage.Release.class,
                    CopyMessage.Whether.class,
                    CopyMessage.Fetch.class,
                    CopyMessage.Page.class,
                    CopyMessage.Compare.class,
                    CopyMessage.Recollect.class,
                    CopyMessage.Recollected.class,
                    CopyMessage.Want.class,
                    CopyMessage.Piece.class);

    private static final Rollout.State[] ROLLOUTS = Rollout.State.values();

    private CopyCodec() {}

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
        if (message instanceof EpochMessage.Prepare m) {
            to.writeNumber(m.number());
            ballot(to, m.ballot());
        } else if (message instanceof EpochMessage.Promise m) {
            to.writeNumber(m.number());
            ballot(to, m.ballot());
            ballot(to, m.acceptedAt());
            layoutOrNone(to, m.accepted());
        } else if (message instanceof EpochMessage.Accept m) {
            to.writeNumber(m.number());
            ballot(to, m.ballot());
            layout(to, m.layout());
        } else if (message instanceof EpochMessage.Accepted m) {
            to.writeNumber(m.number());
            ballot(to, m.ballot());
        } else if (message instanceof EpochMessage.Refused m) {
            to.writeNumber(m.number());
            ballot(to, m.ballot());
            ballot(to, m.promised());
        } else if (message instanceof EpochMessage.Agreed m) {
            layout(to, m.layout());
        } else if (message instanceof EpochMessage.WhatIsOpen m) {
            to.writeNumber(m.nonce());
        } else if (message instanceof EpochMessage.Open m) {
            to.writeNumber(m.nonce());
            to.writeNumber(m.highest());
            layout(to, m.layout());
        } else if (message instanceof EpochMessage.Blank m) {
            to.writeNumber(m.nonce());
            to.writeNumber(m.instance());
        } else if (message instanceof EpochMessage.Standing m) {
            to.writeNumber(m.epoch());
            to.writeNumber(m.behind());
        } else if (message instanceof EpochMessage.Fresh m) {
            to.writeStartArray();
            for (Map.Entry<String, Long> each : m.instances().entrySet()) {
                to.writeStartArray();
                to.writeString(each.getKey());
                to.writeNumber(each.getValue());
                to.writeEndArray();
            }
            to.writeEndArray();
        } else if (message instanceof CopyMessage.Claim m) {
            to.writeNumber(m.epoch());
            to.writeString(m.token());
            id(to, m.id());
            to.writeString(m.body());
            to.writeNumber(m.left().toMillis());
            to.writeBoolean(m.leaves());
        } else if (message instanceof CopyMessage.Look m) {
            to.writeNumber(m.epoch());
            to.writeString(m.token());
            id(to, m.id());
        } else if (message instanceof CopyMessage.Answer m) {
            to.writeNumber(m.epoch());
            to.writeString(m.token());
            id(to, m.id());
            to.writeNumber(m.word().ordinal());
            to.writeBoolean(m.other().isPresent());
            if (m.other().isPresent()) {
                id(to, m.other().get());
            }
            to.writeBoolean(m.outcome().isPresent());
            if (m.outcome().isPresent()) {
                outcome(to, m.outcome().get());
            }
            to.writeNumber(m.number());
        } else if (message instanceof CopyMessage.Ended m) {
            to.writeNumber(m.epoch());
            to.writeString(m.token());
            id(to, m.id());
            outcome(to, m.outcome());
            to.writeNumber(m.left().toMillis());
            heard(to, m.heard());
        } else if (message instanceof CopyMessage.Kept m) {
            to.writeNumber(m.epoch());
            to.writeString(m.token());
            id(to, m.id());
            to.writeNumber(m.number());
        } else if (message instanceof CopyMessage.Release m) {
            to.writeString(m.token());
            id(to, m.id());
            to.writeNumber(m.left().toMillis());
        } else if (message instanceof CopyMessage.Whether m) {
            to.writeString(m.token());
            id(to, m.id());
        } else if (message instanceof CopyMessage.Fetch m) {
            to.writeNumber(m.epoch());
            to.writeNumber(m.range());
            to.writeNumber(m.nonce());
            to.writeNumber(m.order().ordinal());
            place(to, m.place());
            to.writeBinary(m.sketch() == null ? NONE : m.sketch().bytes());
            Codec.numbers(to, m.marks());
            layoutOrNone(to, m.layout());
        } else if (message instanceof CopyMessage.Page m) {
            to.writeNumber(m.epoch());
            to.writeNumber(m.range());
            to.writeNumber(m.nonce());
            items(to, m.items());
            place(to, m.place());
            to.writeBoolean(m.last());
            to.writeBoolean(m.whole());
            to.writeBoolean(m.told());
            Codec.numbers(to, m.rest());
            to.writeNumber(m.count());
            to.writeNumber(m.digest());
        } else if (message instanceof CopyMessage.Compare m) {
            to.writeNumber(m.epoch());
            to.writeNumber(m.range());
            to.writeNumber(m.digest());
            to.writeNumber(m.count());
            to.writeBoolean(m.back());
        } else if (message instanceof CopyMessage.Recollect m) {
            to.writeNumber(m.nonce());
        } else if (message instanceof CopyMessage.Recollected m) {
            to.writeNumber(m.nonce());
            to.writeNumber(m.number());
        } else if (message instanceof CopyMessage.Want m) {
            to.writeString(m.token());
            id(to, m.id());
            to.writeNumber(m.from());
        } else if (message instanceof CopyMessage.Piece m) {
            to.writeString(m.token());
            id(to, m.id());
            to.writeNumber(m.from());
            to.writeBinary(m.bytes().getBytes(StandardCharsets.ISO_8859_1));
        }
        to.writeEndArray();
    }

    static Object read(CBORParser in, int kind) throws IOException {
        Codec.start(in);
        return kind < COPIES ? epoch(in, kind - EPOCHS) : copy(in, kind - COPIES);
    }

    private static EpochMessage epoch(CBORParser in, int kind) throws IOException {
        return switch (kind) {
            case 0 -> new EpochMessage.Prepare(Codec.number(in), ballot(in));
            case 1 ->
                    new EpochMessage.Promise(
                            Codec.number(in), ballot(in), ballot(in), layoutOrNone(in));
            case 2 -> new EpochMessage.Accept(Codec.number(in), ballot(in), layout(in));
            case 3 -> new EpochMessage.Accepted(Codec.number(in), ballot(in));
            case 4 -> new EpochMessage.Refused(Codec.number(in), ballot(in), ballot(in));
            case 5 -> new EpochMessage.Agreed(layout(in));
            case 6 -> new EpochMessage.WhatIsOpen(Codec.number(in));
            case 7 -> new EpochMessage.Open(Codec.number(in), Codec.number(in), layout(in));
            case 8 -> new EpochMessage.Blank(Codec.number(in), Codec.number(in));
            case 10 -> new EpochMessage.Standing(Codec.number(in), (int) Codec.number(in));
            default -> {
                Map<String, Long> instances = new HashMap<>();
                Codec.list(
                        in,
                        () -> {
                            String name = Codec.text(in);
                            instances.put(name, Codec.number(in));
                            Codec.end(in);
                            return name;
                        });
                yield new EpochMessage.Fresh(instances);
            }
        };
    }

    private static CopyMessage copy(CBORParser in, int kind) throws IOException {
        return switch (kind) {
            case 0 ->
                    new CopyMessage.Claim(
                            Codec.number(in),
                            token(in),
                            id(in),
                            Codec.text(in),
                            millis(in),
                            Codec.bool(in));
            case 1 -> new CopyMessage.Look(Codec.number(in), token(in), id(in));
            case 2 ->
                    new CopyMessage.Answer(
                            Codec.number(in),
                            token(in),
                            id(in),
                            word(in),
                            Codec.bool(in) ? Optional.of(id(in)) : Optional.empty(),
                            Codec.bool(in) ? Optional.of(outcome(in)) : Optional.empty(),
                            Codec.number(in));
            case 3 ->
                    new CopyMessage.Ended(
                            Codec.number(in),
                            token(in),
                            id(in),
                            outcome(in),
                            millis(in),
                            heard(in));
            case 4 -> new CopyMessage.Kept(Codec.number(in), token(in), id(in), Codec.number(in));
            case 5 -> new CopyMessage.Release(token(in), id(in), millis(in));
            case 6 -> new CopyMessage.Whether(token(in), id(in));
            case 7 ->
                    new CopyMessage.Fetch(
                            Codec.number(in),
                            range(in),
                            Codec.number(in),
                            order(in),
                            place(in),
                            sketch(in),
                            Codec.numbers(in),
                            layoutOrNone(in));
            case 8 ->
                    new CopyMessage.Page(
                            Codec.number(in),
                            range(in),
                            Codec.number(in),
                            items(in),
                            place(in),
                            Codec.bool(in),
                            Codec.bool(in),
                            Codec.bool(in),
                            Codec.numbers(in),
                            (int) Codec.number(in),
                            Codec.number(in));
            case 9 ->
                    new CopyMessage.Compare(
                            Codec.number(in),
                            range(in),
                            Codec.number(in),
                            (int) Codec.number(in),
                            Codec.bool(in));
            case 10 -> new CopyMessage.Recollect(Codec.number(in));
            case 11 -> new CopyMessage.Recollected(Codec.number(in), Codec.number(in));
            case 12 -> new CopyMessage.Want(token(in), id(in), (int) Codec.number(in));
            default ->
                    new CopyMessage.Piece(
                            token(in),
                            id(in),
                            (int) Codec.number(in),
                            new String(binary(in), StandardCharsets.ISO_8859_1));
        };
    }

    // ---- parts

    /**
     * Guards against a token that no key of the store has room for, from a peer that takes more
     * than this program does.
     */
    private static String token(CBORParser in) throws IOException {
        String token = Codec.text(in);
        if (!KeeperDisk.fits(token)) {
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

    private static Sketch sketch(CBORParser in) throws IOException {
        byte[] bytes = binary(in);
        return bytes.length == 0 ? null : Sketch.of(bytes);
    }

    private static CopyMessage.Order order(CBORParser in) throws IOException {
        long order = Codec.number(in);
        if (order < 0 || order >= CopyMessage.Order.values().length) {
            throw new IllegalArgumentException("no order");
        }
        return CopyMessage.Order.values()[(int) order];
    }

    private static void place(CBORGenerator to, CopyMessage.Place place) throws IOException {
        to.writeNumber(place.untilNs());
        to.writeString(place.token());
    }

    private static CopyMessage.Place place(CBORParser in) throws IOException {
        return new CopyMessage.Place(Codec.number(in), Codec.text(in));
    }

    static void heard(CBORGenerator to, Map<String, Long> heard) throws IOException {
        to.writeStartArray();
        for (Map.Entry<String, Long> each : heard.entrySet()) {
            to.writeStartArray();
            to.writeString(each.getKey());
            to.writeNumber(each.getValue());
            to.writeEndArray();
        }
        to.writeEndArray();
    }

    static Map<String, Long> heard(CBORParser in) throws IOException {
        Map<String, Long> heard = new TreeMap<>();
        Codec.list(
                in,
                () -> {
                    String name = Codec.text(in);
                    heard.put(name, Codec.number(in));
                    Codec.end(in);
                    return name;
                });
        return heard;
    }

    private static Duration millis(CBORParser in) throws IOException {
        return Duration.ofMillis(Math.max(0, Codec.number(in)));
    }

    private static int range(CBORParser in) throws IOException {
        long range = Codec.number(in);
        if (range < 0 || range >= Layout.RANGES) {
            throw new IllegalArgumentException("no range");
        }
        return (int) range;
    }

    private static CopyMessage.Word word(CBORParser in) throws IOException {
        long word = Codec.number(in);
        if (word < 0 || word >= CopyMessage.Word.values().length) {
            throw new IllegalArgumentException("no word");
        }
        return CopyMessage.Word.values()[(int) word];
    }

    private static void ballot(CBORGenerator to, Ballot ballot) throws IOException {
        to.writeNumber(ballot.round());
        to.writeString(ballot.voter());
    }

    private static Ballot ballot(CBORParser in) throws IOException {
        return new Ballot(Codec.number(in), Codec.text(in));
    }

    static void layout(CBORGenerator to, Layout layout) throws IOException {
        to.writeNumber(layout.epoch());
        to.writeNumber(layout.factor());
        servers(to, layout.servers());
        servers(to, layout.former());
        Rollout rollout = layout.rollout();
        version(to, rollout.to());
        version(to, rollout.from());
        to.writeNumber(rollout.stage());
        to.writeNumber(rollout.state().ordinal());
    }

    static void version(CBORGenerator to, Rollout.Version version) throws IOException {
        to.writeNumber(version.number());
        to.writeString(version.hash());
        to.writeNumber(version.size());
        to.writeString(version.build());
        to.writeString(version.by());
        to.writeString(version.why());
    }

    static Rollout.Version version(CBORParser in) throws IOException {
        return new Rollout.Version(
                Codec.number(in),
                Codec.text(in),
                Math.toIntExact(Codec.number(in)),
                Codec.text(in),
                Codec.text(in),
                Codec.text(in));
    }

    private static Rollout rollout(CBORParser in) throws IOException {
        Rollout.Version to = version(in);
        Rollout.Version from = version(in);
        int stage = Math.toIntExact(Codec.number(in));
        long state = Codec.number(in);
        if (state < 0 || state >= ROLLOUTS.length) {
            throw new IllegalArgumentException("no state");
        }
        return new Rollout(to, from, stage, ROLLOUTS[(int) state]);
    }

    static Layout layout(CBORParser in) throws IOException {
        long epoch = Codec.number(in);
        long factor = Codec.number(in);
        if (epoch < 0 || factor < 1 || factor > 9) {
            throw new IllegalArgumentException("no layout");
        }
        return new Layout(epoch, servers(in), servers(in), (int) factor, rollout(in));
    }

    private static void layoutOrNone(CBORGenerator to, Layout layout) throws IOException {
        to.writeBoolean(layout != null);
        if (layout != null) {
            layout(to, layout);
        }
    }

    private static Layout layoutOrNone(CBORParser in) throws IOException {
        return Codec.bool(in) ? layout(in) : null;
    }

    private static void servers(CBORGenerator to, List<Layout.Server> servers) throws IOException {
        to.writeStartArray();
        for (Layout.Server each : servers) {
            to.writeStartArray();
            to.writeString(each.name());
            to.writeString(each.zone());
            to.writeEndArray();
        }
        to.writeEndArray();
    }

    private static List<Layout.Server> servers(CBORParser in) throws IOException {
        return Codec.list(
                in,
                () -> {
                    Layout.Server server = new Layout.Server(Codec.text(in), Codec.text(in));
                    Codec.end(in);
                    return server;
                });
    }

    private static void id(CBORGenerator to, ClaimId id) throws IOException {
        to.writeString(id.server());
        to.writeNumber(id.start());
        to.writeNumber(id.run());
    }

    private static ClaimId id(CBORParser in) throws IOException {
        return new ClaimId(Codec.text(in), Codec.number(in), Codec.number(in));
    }

    private static void outcome(CBORGenerator to, Outcome outcome) throws IOException {
        to.writeBoolean(outcome.succeeded());
        to.writeString(outcome.body());
        to.writeBinary(outcome.result().getBytes(StandardCharsets.ISO_8859_1));
        to.writeNumber(outcome.size());
        to.writeNumber(outcome.sum());
        to.writeBoolean(outcome.here());
    }

    private static Outcome outcome(CBORParser in) throws IOException {
        Outcome outcome =
                new Outcome(
                        Codec.bool(in),
                        Codec.text(in),
                        new String(binary(in), StandardCharsets.ISO_8859_1),
                        (int) Codec.number(in),
                        Codec.number(in),
                        Codec.bool(in));
        if (outcome.size() < 0 || outcome.size() > Outcome.LONGEST) {
            throw new IllegalArgumentException("no size");
        }
        return outcome;
    }

    private static void items(CBORGenerator to, List<CopyMessage.Item> items) throws IOException {
        to.writeStartArray();
        for (CopyMessage.Item item : items) {
            item(to, item);
        }
        to.writeEndArray();
    }

    static void item(CBORGenerator to, CopyMessage.Item item) throws IOException {
        to.writeStartArray();
        to.writeString(item.token());
        to.writeNumber(item.left().toMillis());
        to.writeStartArray();
        for (Map.Entry<ClaimId, String> each : item.entry().claims().entrySet()) {
            to.writeStartArray();
            id(to, each.getKey());
            to.writeString(each.getValue());
            to.writeEndArray();
        }
        to.writeEndArray();
        to.writeStartArray();
        for (ClaimId each : item.entry().released()) {
            to.writeStartArray();
            id(to, each);
            to.writeEndArray();
        }
        to.writeEndArray();
        to.writeStartArray();
        for (Map.Entry<ClaimId, Outcome> each : item.entry().outcomes().entrySet()) {
            to.writeStartArray();
            id(to, each.getKey());
            outcome(to, each.getValue());
            to.writeEndArray();
        }
        to.writeEndArray();
        to.writeEndArray();
    }

    private static List<CopyMessage.Item> items(CBORParser in) throws IOException {
        return Codec.list(in, () -> item(in));
    }

    /** The rest of an item whose array has begun. */
    static CopyMessage.Item item(CBORParser in) throws IOException {
        String token = token(in);
        Duration left = millis(in);
        Map<ClaimId, String> claims = new TreeMap<>();
        Codec.list(
                in,
                () -> {
                    claims.put(id(in), Codec.text(in));
                    Codec.end(in);
                    return token;
                });
        Set<ClaimId> released = new TreeSet<>();
        Codec.list(
                in,
                () -> {
                    released.add(id(in));
                    Codec.end(in);
                    return token;
                });
        Map<ClaimId, Outcome> outcomes = new TreeMap<>();
        Codec.list(
                in,
                () -> {
                    outcomes.put(id(in), outcome(in));
                    Codec.end(in);
                    return token;
                });
        Codec.end(in);
        return new CopyMessage.Item(
                token, new Entry(claims, released, outcomes, Duration.ZERO), left);
    }
}
