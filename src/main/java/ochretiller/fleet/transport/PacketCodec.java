package ochretiller.fleet.transport;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MemberId;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.MembershipMessage;
import ochretiller.fleet.membership.MembershipPacket;
import ochretiller.fleet.membership.MembershipUpdate;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.rollout.RolloutMessage;

/**
 * The envelope and what is in it, as {@code docs/fleet-wire.md} has it: {@code OF}, version, least
 * version that can read it, length, a CBOR array, a seal. Arrays may be longer than is known here:
 * what is behind is skipped.
 */
public final class PacketCodec {
    /** What this program speaks, and the least that can read it. */
    static final int VERSION = 1;

    /** Longest packet that is read: a page of members with the longest names. */
    public static final int LONGEST = 8 * 1024;

    private static final int HEAD = 6;
    private static final CBORFactory CBOR = new CBORFactory();
    private static final List<Class<? extends MembershipMessage>> KINDS =
            List.of(
                    MembershipMessage.Ping.class,
                    MembershipMessage.Ack.class,
                    MembershipMessage.PingRequest.class,
                    MembershipMessage.IndirectAck.class,
                    MembershipMessage.DigestSync.class,
                    MembershipMessage.UpdatePage.class,
                    MembershipMessage.MemberRequest.class,
                    MembershipMessage.MemberPage.class);
    private static final MemberState[] STATES = {
        MemberState.JOINING,
        MemberState.ALIVE,
        MemberState.SUSPECT,
        MemberState.UNRESPONSIVE,
        MemberState.LEFT
    };

    /** Most of anything in one list: more than any message has. */
    private static final int MOST = 256;

    private final String fleet;
    private volatile FleetKeys keys;

    /**
     * What was opened.
     *
     * @param body a {@link MembershipMessage}, or one of epochs or copies
     * @param sequence grows with each packet of one start
     * @param epoch 0 where no epochs are agreed on
     */
    public record Opened(Member from, Object body, long sequence, long epoch) {
        /** As the decisions on members take it. */
        public MembershipPacket packet() {
            return new MembershipPacket(from, (MembershipMessage) body);
        }
    }

    public PacketCodec(String fleet, FleetKeys keys) {
        this.fleet = fleet;
        this.keys = keys;
    }

    /** Other keys hold from here on; from any thread. */
    public void become(FleetKeys next) {
        keys = next;
    }

    FleetKeys keys() {
        return keys;
    }

    String fleet() {
        return fleet;
    }

    public byte[] seal(MembershipPacket packet, long sequence) {
        return seal(packet.sender(), packet.message(), sequence);
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
                    message instanceof MembershipMessage
                            ? KINDS.indexOf(message.getClass()) + 1
                            : message instanceof RolloutMessage
                                    ? RolloutCodec.kind(message)
                                    : ReplicationCodec.kind(message));
            to.writeNumber(0L);
            member(to, sender);
            if (message instanceof MembershipMessage known) {
                body(to, known);
            } else if (message instanceof RolloutMessage version) {
                RolloutCodec.write(to, version);
            } else {
                ReplicationCodec.write(to, message);
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
    public Opened open(byte[] bytes, int length) throws RejectedPacketException {
        if (length < HEAD + FleetKeys.SEAL || length > LONGEST) {
            throw new RejectedPacketException(RejectReason.LENGTH);
        }
        if (bytes[0] != 'O' || bytes[1] != 'F') {
            throw new RejectedPacketException(RejectReason.NOT_OURS);
        }
        if ((bytes[3] & 0xff) > VERSION) {
            throw new RejectedPacketException(RejectReason.NEWER);
        }
        if (((bytes[4] & 0xff) << 8 | bytes[5] & 0xff) != length) {
            throw new RejectedPacketException(RejectReason.LENGTH);
        }
        if (!keys.good(bytes, length - FleetKeys.SEAL)) {
            throw new RejectedPacketException(RejectReason.FORGED);
        }
        try (CBORParser from = CBOR.createParser(bytes, HEAD, length - FleetKeys.SEAL - HEAD)) {
            start(from);
            if (!text(from).equals(fleet)) {
                throw new RejectedPacketException(RejectReason.OTHER_FLEET);
            }
            long sequence = number(from);
            long kind = number(from);
            long epoch = number(from);
            Member sender = member(from);
            if (ReplicationCodec.knows(kind)) {
                return new Opened(sender, ReplicationCodec.read(from, (int) kind), sequence, epoch);
            }
            if (RolloutCodec.knows(kind)) {
                return new Opened(sender, RolloutCodec.read(from, (int) kind), sequence, epoch);
            }
            if (kind < 1 || kind > KINDS.size()) {
                throw new RejectedPacketException(RejectReason.KIND);
            }
            return new Opened(sender, body(from, (int) kind), sequence, epoch);
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            throw new RejectedPacketException(RejectReason.MALFORMED);
        }
    }

    private static void body(CBORGenerator to, MembershipMessage message) throws IOException {
        if (message instanceof MembershipMessage.Ping ping) {
            to.writeStartArray(null, 5);
            to.writeNumber(ping.nonce());
            to.writeNumber(ping.target());
            entries(to, ping.gossip().updates());
            members(to, ping.gossip().members());
            to.writeNumber(ping.digest());
        } else if (message instanceof MembershipMessage.Ack ack) {
            to.writeStartArray(null, 4);
            to.writeNumber(ack.nonce());
            entries(to, ack.gossip().updates());
            members(to, ack.gossip().members());
            to.writeNumber(ack.digest());
        } else if (message instanceof MembershipMessage.PingRequest ask) {
            to.writeStartArray(null, 4);
            to.writeNumber(ask.nonce());
            to.writeNumber(ask.target());
            address(to, ask.address());
        } else if (message instanceof MembershipMessage.IndirectAck reached) {
            to.writeStartArray(null, 2);
            to.writeNumber(reached.nonce());
            entry(to, reached.target());
        } else if (message instanceof MembershipMessage.DigestSync sync) {
            to.writeStartArray(null, 2);
            numbers(to, sync.digests());
            to.writeBoolean(sync.reciprocal());
        } else if (message instanceof MembershipMessage.UpdatePage states) {
            to.writeStartArray(null, 1);
            entries(to, states.updates());
        } else if (message instanceof MembershipMessage.MemberRequest want) {
            to.writeStartArray(null, 1);
            numbers(to, want.incarnations());
        } else if (message instanceof MembershipMessage.MemberPage full) {
            to.writeStartArray(null, 1);
            members(to, full.members());
        }
        to.writeEndArray();
    }

    private static MembershipMessage body(CBORParser from, int kind) throws IOException {
        start(from);
        return switch (kind) {
            case 1 ->
                    new MembershipMessage.Ping(
                            number(from),
                            number(from),
                            new MembershipMessage.Gossip(entries(from), members(from)),
                            number(from));
            case 2 ->
                    new MembershipMessage.Ack(
                            number(from),
                            new MembershipMessage.Gossip(entries(from), members(from)),
                            number(from));
            case 3 -> new MembershipMessage.PingRequest(number(from), number(from), address(from));
            case 4 -> new MembershipMessage.IndirectAck(number(from), entry(from));
            case 5 -> new MembershipMessage.DigestSync(numbers(from), bool(from));
            case 6 -> new MembershipMessage.UpdatePage(entries(from));
            case 7 -> new MembershipMessage.MemberRequest(numbers(from));
            default -> new MembershipMessage.MemberPage(members(from));
        };
    }

    // ---- parts

    private static void member(CBORGenerator to, Member member) throws IOException {
        to.writeStartArray(null, 10);
        to.writeString(member.id().name());
        to.writeNumber(member.incarnation());
        address(to, member.address());
        to.writeString(member.zone());
        to.writeString(member.build());
        if (member.serviceAddress().isEmpty()) {
            to.writeString("");
            to.writeNumber(0);
        } else {
            address(to, member.serviceAddress().get());
        }
        to.writeNumber(member.stateVersion());
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
        PeerAddress address = address(from);
        String zone = text(from);
        String build = text(from);
        PeerAddress serves = address(from);
        Member member =
                new Member(
                        id,
                        address,
                        zone,
                        build,
                        Optional.of(serves).filter(each -> each.port() != 0),
                        number(from),
                        state(from));
        end(from);
        return member;
    }

    private static void address(CBORGenerator to, PeerAddress address) throws IOException {
        to.writeString(address.host());
        to.writeNumber(address.port());
    }

    private static PeerAddress address(CBORParser from) throws IOException {
        String host = text(from);
        long port = number(from);
        if (host.length() > PeerAddress.MAX_LENGTH || port < 0 || port > 0xffff) {
            throw new IllegalArgumentException("no address");
        }
        return new PeerAddress(host, (int) port);
    }

    private static void entry(CBORGenerator to, MembershipUpdate entry) throws IOException {
        to.writeStartArray(null, entry.accuser() == 0 ? 3 : 4);
        to.writeNumber(entry.incarnation());
        to.writeNumber(entry.stateVersion());
        to.writeNumber(code(entry.state()));
        if (entry.accuser() != 0) {
            to.writeNumber(entry.accuser());
        }
        to.writeEndArray();
    }

    private static MembershipUpdate entry(CBORParser from) throws IOException {
        start(from);
        return entered(from);
    }

    /** The rest of an entry whose array has begun. */
    private static MembershipUpdate entered(CBORParser from) throws IOException {
        long start = number(from);
        long number = number(from);
        MemberState state = state(from);
        if (number < 0) {
            throw new IllegalArgumentException("a number is out of bounds");
        }
        JsonToken next = from.nextToken();
        if (next == JsonToken.END_ARRAY) {
            return new MembershipUpdate(start, number, state, 0);
        }
        MembershipUpdate entry = new MembershipUpdate(start, number, state, from.getLongValue());
        end(from);
        return entry;
    }

    private static void entries(CBORGenerator to, List<MembershipUpdate> entries)
            throws IOException {
        to.writeStartArray(null, entries.size());
        for (MembershipUpdate entry : entries) {
            entry(to, entry);
        }
        to.writeEndArray();
    }

    private static List<MembershipUpdate> entries(CBORParser from) throws IOException {
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
    public interface Part<T> {
        T read() throws IOException;
    }

    public static <T> List<T> list(CBORParser from, Part<T> part) throws IOException {
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

    public static void numbers(CBORGenerator to, List<Long> numbers) throws IOException {
        to.writeStartArray(null, numbers.size());
        for (long each : numbers) {
            to.writeNumber(each);
        }
        to.writeEndArray();
    }

    public static List<Long> numbers(CBORParser from) throws IOException {
        return list(from, from::getLongValue);
    }

    public static void start(CBORParser from) throws IOException {
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

    public static String text(CBORParser from) throws IOException {
        if (from.nextToken() != JsonToken.VALUE_STRING) {
            throw new IllegalArgumentException("no text");
        }
        return from.getText();
    }

    public static long number(CBORParser from) throws IOException {
        if (from.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IllegalArgumentException("no number");
        }
        return from.getLongValue();
    }

    public static boolean bool(CBORParser from) throws IOException {
        JsonToken token = from.nextToken();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw new IllegalArgumentException("no truth");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    private static int code(MemberState state) {
        return List.of(STATES).indexOf(state) + 1;
    }

    private static MemberState state(CBORParser from) throws IOException {
        long code = number(from);
        if (code < 1 || code > STATES.length) {
            throw new IllegalArgumentException("no state");
        }
        return STATES[(int) code - 1];
    }
}
