package ochretiller.fleet.peers;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import ochretiller.fleet.members.Address;
import ochretiller.fleet.members.Entry;
import ochretiller.fleet.members.Member;
import ochretiller.fleet.members.MemberId;
import ochretiller.fleet.members.Message;
import ochretiller.fleet.members.Packet;
import ochretiller.fleet.members.State;
import ochretiller.fleet.versions.VersionMessage;

/**
 * The envelope and what is in it, as {@code docs/fleet-wire.md} has it: {@code OF}, version, least
 * version that can read it, length, a CBOR array, a seal. Arrays may be longer than is known here:
 * what is behind is skipped.
 */
public final class Codec {
    /** What this program speaks, and the least that can read it. */
    static final int VERSION = 1;

    /** Longest packet that is read: a page of members with the longest names. */
    public static final int LONGEST = 8 * 1024;

    private static final int HEAD = 6;
    private static final CBORFactory CBOR = new CBORFactory();
    private static final List<Class<? extends Message>> KINDS =
            List.of(
                    Message.Ping.class,
                    Message.Ack.class,
                    Message.Ask.class,
                    Message.Reached.class,
                    Message.Sync.class,
                    Message.States.class,
                    Message.Want.class,
                    Message.Full.class);
    private static final State[] STATES = {
        State.JOINING, State.HERE, State.SUSPECT, State.SILENT, State.LEFT
    };

    /** Most of anything in one list: more than any message has. */
    private static final int MOST = 256;

    private final String fleet;
    private volatile FleetKeys keys;

    /**
     * What was opened.
     *
     * @param body a {@link Message}, or one of epochs or copies
     * @param sequence grows with each packet of one start
     * @param epoch 0 where no epochs are agreed on
     */
    public record Opened(Member from, Object body, long sequence, long epoch) {
        /** As the decisions on members take it. */
        public Packet packet() {
            return new Packet(from, (Message) body);
        }
    }

    public Codec(String fleet, FleetKeys keys) {
        this.fleet = fleet;
        this.keys = keys;
    }

    /** Other keys hold from here on; from any thread. */
    void become(FleetKeys next) {
        keys = next;
    }

    FleetKeys keys() {
        return keys;
    }

    String fleet() {
        return fleet;
    }

    public byte[] seal(Packet packet, long sequence) {
        return seal(packet.from(), packet.message(), sequence);
    }

    /** A packet of any kind. */
    public byte[] seal(Member sender, Object message, long sequence) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        out.writeBytes(new byte[] {'O', 'F', VERSION, VERSION, 0, 0});
        try (CBORGenerator to = CBOR.createGenerator(out)) {
            to.writeStartArray(null, 6);
            to.writeString(fleet);
            to.writeNumber(sequence);
            to.writeNumber(
                    message instanceof Message
                            ? KINDS.indexOf(message.getClass()) + 1
                            : message instanceof VersionMessage
                                    ? VersionCodec.kind(message)
                                    : CopyCodec.kind(message));
            to.writeNumber(0L);
            member(to, sender);
            if (message instanceof Message known) {
                body(to, known);
            } else if (message instanceof VersionMessage version) {
                VersionCodec.write(to, version);
            } else {
                CopyCodec.write(to, message);
            }
            to.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a buffer in memory does not fail
        }
        byte[] bytes = new byte[out.size() + FleetKeys.SEAL];
        System.arraycopy(out.toByteArray(), 0, bytes, 0, out.size());
        bytes[4] = (byte) (bytes.length >> 8);
        bytes[5] = (byte) bytes.length;
        System.arraycopy(keys.seal(bytes, out.size()), 0, bytes, out.size(), FleetKeys.SEAL);
        return bytes;
    }

    /**
     * Opens a packet: first what is cheap to see, then the seal, and only then what somebody with
     * the key has written.
     */
    public Opened open(byte[] bytes, int length) throws RefusedException {
        if (length < HEAD + FleetKeys.SEAL || length > LONGEST) {
            throw new RefusedException(Refused.LENGTH);
        }
        if (bytes[0] != 'O' || bytes[1] != 'F') {
            throw new RefusedException(Refused.NOT_OURS);
        }
        if ((bytes[3] & 0xff) > VERSION) {
            throw new RefusedException(Refused.NEWER);
        }
        if (((bytes[4] & 0xff) << 8 | bytes[5] & 0xff) != length) {
            throw new RefusedException(Refused.LENGTH);
        }
        if (!keys.good(bytes, length - FleetKeys.SEAL)) {
            throw new RefusedException(Refused.FORGED);
        }
        try (CBORParser from = CBOR.createParser(bytes, HEAD, length - FleetKeys.SEAL - HEAD)) {
            start(from);
            if (!text(from).equals(fleet)) {
                throw new RefusedException(Refused.OTHER_FLEET);
            }
            long sequence = number(from);
            long kind = number(from);
            long epoch = number(from);
            Member sender = member(from);
            if (CopyCodec.knows(kind)) {
                return new Opened(sender, CopyCodec.read(from, (int) kind), sequence, epoch);
            }
            if (VersionCodec.knows(kind)) {
                return new Opened(sender, VersionCodec.read(from, (int) kind), sequence, epoch);
            }
            if (kind < 1 || kind > KINDS.size()) {
                throw new RefusedException(Refused.KIND);
            }
            return new Opened(sender, body(from, (int) kind), sequence, epoch);
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            throw new RefusedException(Refused.MALFORMED);
        }
    }

    private static void body(CBORGenerator to, Message message) throws IOException {
        if (message instanceof Message.Ping ping) {
            to.writeStartArray(null, 5);
            to.writeNumber(ping.nonce());
            to.writeNumber(ping.target());
            entries(to, ping.news().entries());
            members(to, ping.news().full());
            to.writeNumber(ping.digest());
        } else if (message instanceof Message.Ack ack) {
            to.writeStartArray(null, 4);
            to.writeNumber(ack.nonce());
            entries(to, ack.news().entries());
            members(to, ack.news().full());
            to.writeNumber(ack.digest());
        } else if (message instanceof Message.Ask ask) {
            to.writeStartArray(null, 4);
            to.writeNumber(ask.nonce());
            to.writeNumber(ask.target());
            address(to, ask.address());
        } else if (message instanceof Message.Reached reached) {
            to.writeStartArray(null, 2);
            to.writeNumber(reached.nonce());
            entry(to, reached.target());
        } else if (message instanceof Message.Sync sync) {
            to.writeStartArray(null, 2);
            numbers(to, sync.digests());
            to.writeBoolean(sync.back());
        } else if (message instanceof Message.States states) {
            to.writeStartArray(null, 1);
            entries(to, states.entries());
        } else if (message instanceof Message.Want want) {
            to.writeStartArray(null, 1);
            numbers(to, want.starts());
        } else if (message instanceof Message.Full full) {
            to.writeStartArray(null, 1);
            members(to, full.members());
        }
        to.writeEndArray();
    }

    private static Message body(CBORParser from, int kind) throws IOException {
        start(from);
        return switch (kind) {
            case 1 ->
                    new Message.Ping(
                            number(from),
                            number(from),
                            new Message.News(entries(from), members(from)),
                            number(from));
            case 2 ->
                    new Message.Ack(
                            number(from),
                            new Message.News(entries(from), members(from)),
                            number(from));
            case 3 -> new Message.Ask(number(from), number(from), address(from));
            case 4 -> new Message.Reached(number(from), entry(from));
            case 5 -> new Message.Sync(numbers(from), bool(from));
            case 6 -> new Message.States(entries(from));
            case 7 -> new Message.Want(numbers(from));
            default -> new Message.Full(members(from));
        };
    }

    // ---- parts

    private static void member(CBORGenerator to, Member member) throws IOException {
        to.writeStartArray(null, 10);
        to.writeString(member.id().name());
        to.writeNumber(member.start());
        address(to, member.address());
        to.writeString(member.zone());
        to.writeString(member.build());
        if (member.serves() == null) {
            to.writeString("");
            to.writeNumber(0);
        } else {
            address(to, member.serves());
        }
        to.writeNumber(member.number());
        to.writeNumber(code(member.state()));
        to.writeEndArray();
    }

    private static Member member(CBORParser from) throws IOException {
        start(from);
        return membered(from);
    }

    /** The rest of a member whose array has begun. */
    private static Member membered(CBORParser from) throws IOException {
        MemberId id = new MemberId(text(from), number(from));
        Address address = address(from);
        String zone = text(from);
        String build = text(from);
        Address serves = address(from);
        Member member =
                new Member(
                        id,
                        address,
                        zone,
                        build,
                        serves.port() == 0 ? null : serves,
                        number(from),
                        state(from));
        end(from);
        return member;
    }

    private static void address(CBORGenerator to, Address address) throws IOException {
        to.writeString(address.host());
        to.writeNumber(address.port());
    }

    private static Address address(CBORParser from) throws IOException {
        String host = text(from);
        long port = number(from);
        if (host.length() > Address.LONGEST || port < 0 || port > 0xffff) {
            throw new IllegalArgumentException("no address");
        }
        return new Address(host, (int) port);
    }

    private static void entry(CBORGenerator to, Entry entry) throws IOException {
        to.writeStartArray(null, entry.by() == 0 ? 3 : 4);
        to.writeNumber(entry.start());
        to.writeNumber(entry.number());
        to.writeNumber(code(entry.state()));
        if (entry.by() != 0) {
            to.writeNumber(entry.by());
        }
        to.writeEndArray();
    }

    private static Entry entry(CBORParser from) throws IOException {
        start(from);
        return entered(from);
    }

    /** The rest of an entry whose array has begun. */
    private static Entry entered(CBORParser from) throws IOException {
        long start = number(from);
        long number = number(from);
        State state = state(from);
        if (number < 0) {
            throw new IllegalArgumentException("a number is out of bounds");
        }
        JsonToken next = from.nextToken();
        if (next == JsonToken.END_ARRAY) {
            return new Entry(start, number, state, 0);
        }
        Entry entry = new Entry(start, number, state, from.getLongValue());
        end(from);
        return entry;
    }

    private static void entries(CBORGenerator to, List<Entry> entries) throws IOException {
        to.writeStartArray(null, entries.size());
        for (Entry entry : entries) {
            entry(to, entry);
        }
        to.writeEndArray();
    }

    private static List<Entry> entries(CBORParser from) throws IOException {
        return list(from, () -> entered(from));
    }

    private static void members(CBORGenerator to, List<Member> members) throws IOException {
        to.writeStartArray(null, members.size());
        for (Member member : members) {
            member(to, member);
        }
        to.writeEndArray();
    }

    private static List<Member> members(CBORParser from) throws IOException {
        return list(from, () -> membered(from));
    }

    /** Reads one element of a list whose token has been read. */
    @FunctionalInterface
    interface Part<T> {
        T read() throws IOException;
    }

    static <T> List<T> list(CBORParser from, Part<T> part) throws IOException {
        List<T> all = new ArrayList<>();
        start(from);
        while (from.nextToken() != JsonToken.END_ARRAY) {
            // Guards against a list that is as long as its sender likes.
            if (from.currentToken() == null || all.size() == MOST) {
                throw new IllegalArgumentException("no list");
            }
            all.add(part.read());
        }
        return all;
    }

    static void numbers(CBORGenerator to, List<Long> numbers) throws IOException {
        to.writeStartArray(null, numbers.size());
        for (long each : numbers) {
            to.writeNumber(each);
        }
        to.writeEndArray();
    }

    static List<Long> numbers(CBORParser from) throws IOException {
        return list(from, from::getLongValue);
    }

    static void start(CBORParser from) throws IOException {
        if (from.nextToken() != JsonToken.START_ARRAY) {
            throw new IllegalArgumentException("no array");
        }
    }

    /** Over what a newer program has put behind what is known here. */
    static void end(CBORParser from) throws IOException {
        JsonToken token = from.nextToken();
        while (token != JsonToken.END_ARRAY) {
            if (token == null) {
                throw new IllegalArgumentException("it ends early");
            }
            from.skipChildren();
            token = from.nextToken();
        }
    }

    static String text(CBORParser from) throws IOException {
        if (from.nextToken() != JsonToken.VALUE_STRING) {
            throw new IllegalArgumentException("no text");
        }
        return from.getText();
    }

    static long number(CBORParser from) throws IOException {
        if (from.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IllegalArgumentException("no number");
        }
        return from.getLongValue();
    }

    static boolean bool(CBORParser from) throws IOException {
        JsonToken token = from.nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new IllegalArgumentException("no truth");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    private static int code(State state) {
        return List.of(STATES).indexOf(state) + 1;
    }

    private static State state(CBORParser from) throws IOException {
        long code = number(from);
        if (code < 1 || code > STATES.length) {
            throw new IllegalArgumentException("no state");
        }
        return STATES[(int) code - 1];
    }
}
