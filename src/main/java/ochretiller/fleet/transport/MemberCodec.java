package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MemberId;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.MembershipMessage;
import ochretiller.fleet.membership.MembershipUpdate;
import ochretiller.fleet.membership.PeerAddress;

/** Encodes and decodes members, membership updates and peer addresses. Stateless. */
final class MemberCodec {
    /** States in the order of their numbers on the wire, which start at 1. */
    private static final List<MemberState> STATES =
            List.of(
                    MemberState.JOINING,
                    MemberState.ALIVE,
                    MemberState.SUSPECT,
                    MemberState.UNRESPONSIVE,
                    MemberState.LEFT);

    private static final int MEMBER_FIELDS = 10;
    private static final int UPDATE_FIELDS = 3;
    private static final int MAX_PORT = 0xffff;

    /** Port that encodes an absent service address: the member serves no clients. */
    private static final int NO_PORT = 0;

    /** Accuser of an update that has none. */
    private static final long NO_ACCUSER = 0;

    private MemberCodec() {}

    static void writeMember(CBORGenerator out, Member member) throws IOException {
        out.writeStartArray(null, MEMBER_FIELDS);
        out.writeString(member.id().name());
        out.writeNumber(member.incarnation());
        writeAddress(out, member.address());
        out.writeString(member.zone());
        out.writeString(member.build());
        writeServiceAddress(out, member.serviceAddress());
        out.writeNumber(member.stateVersion());
        writeState(out, member.state());
        out.writeEndArray();
    }

    static Member readMember(CborReader in) throws IOException {
        in.readStartArray();
        return readMemberFields(in);
    }

    /** Reads a member after the start of its array. */
    private static Member readMemberFields(CborReader in) throws IOException {
        MemberId id = new MemberId(in.readText(), in.readLong());
        PeerAddress address = readAddress(in);
        String zone = in.readText();
        String build = in.readText();
        Optional<PeerAddress> serviceAddress = readServiceAddress(in);
        long stateVersion = in.readLong();
        MemberState state = readState(in);
        Member member = new Member(id, address, zone, build, serviceAddress, stateVersion, state);
        in.readEndArray();
        return member;
    }

    private static void writeServiceAddress(CBORGenerator out, Optional<PeerAddress> address)
            throws IOException {
        if (address.isEmpty()) {
            out.writeString("");
            out.writeNumber(NO_PORT);
        } else {
            writeAddress(out, address.get());
        }
    }

    private static Optional<PeerAddress> readServiceAddress(CborReader in) throws IOException {
        PeerAddress address = readAddress(in);
        return address.port() == NO_PORT ? Optional.empty() : Optional.of(address);
    }

    static void writeAddress(CBORGenerator out, PeerAddress address) throws IOException {
        out.writeString(address.host());
        out.writeNumber(address.port());
    }

    static PeerAddress readAddress(CborReader in) throws IOException {
        String host = in.readText();
        long port = in.readLong();
        if (host.length() > PeerAddress.MAX_HOST_LENGTH || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("invalid address: " + host + ":" + port);
        }
        return new PeerAddress(host, (int) port);
    }

    static void writeUpdate(CBORGenerator out, MembershipUpdate update) throws IOException {
        boolean hasAccuser = update.accuser() != NO_ACCUSER;
        out.writeStartArray(null, hasAccuser ? UPDATE_FIELDS + 1 : UPDATE_FIELDS);
        out.writeNumber(update.incarnation());
        out.writeNumber(update.stateVersion());
        writeState(out, update.state());
        if (hasAccuser) {
            out.writeNumber(update.accuser());
        }
        out.writeEndArray();
    }

    static MembershipUpdate readUpdate(CborReader in) throws IOException {
        in.readStartArray();
        return readUpdateFields(in);
    }

    /** Reads an update after the start of its array. */
    private static MembershipUpdate readUpdateFields(CborReader in) throws IOException {
        long incarnation = in.readLong();
        long stateVersion = in.readLong();
        MemberState state = readState(in);
        if (stateVersion < 0) {
            throw new IllegalArgumentException("state version is negative: " + stateVersion);
        }
        if (in.nextTokenEndsArray()) {
            return new MembershipUpdate(incarnation, stateVersion, state, NO_ACCUSER);
        }
        long accuser = in.currentLong();
        in.readEndArray();
        return new MembershipUpdate(incarnation, stateVersion, state, accuser);
    }

    static void writeMembers(CBORGenerator out, List<Member> members) throws IOException {
        CborWriter.writeDefiniteLengthList(out, members, MemberCodec::writeMember);
    }

    static List<Member> readMembers(CborReader in) throws IOException {
        return in.readList(() -> readMemberFields(in));
    }

    static void writeUpdates(CBORGenerator out, List<MembershipUpdate> updates) throws IOException {
        CborWriter.writeDefiniteLengthList(out, updates, MemberCodec::writeUpdate);
    }

    static List<MembershipUpdate> readUpdates(CborReader in) throws IOException {
        return in.readList(() -> readUpdateFields(in));
    }

    static void writeGossip(CBORGenerator out, MembershipMessage.Gossip gossip) throws IOException {
        writeUpdates(out, gossip.updates());
        writeMembers(out, gossip.members());
    }

    static MembershipMessage.Gossip readGossip(CborReader in) throws IOException {
        return new MembershipMessage.Gossip(readUpdates(in), readMembers(in));
    }

    private static void writeState(CBORGenerator out, MemberState state) throws IOException {
        out.writeNumber(STATES.indexOf(state) + 1);
    }

    private static MemberState readState(CborReader in) throws IOException {
        long number = in.readLong();
        if (number < 1 || number > STATES.size()) {
            throw new IllegalArgumentException("unknown member state number: " + number);
        }
        return STATES.get((int) number - 1);
    }
}
