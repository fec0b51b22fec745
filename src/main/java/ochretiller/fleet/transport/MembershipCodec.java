package ochretiller.fleet.transport;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import ochretiller.fleet.membership.MembershipMessage.Ack;
import ochretiller.fleet.membership.MembershipMessage.DigestSync;
import ochretiller.fleet.membership.MembershipMessage.IndirectAck;
import ochretiller.fleet.membership.MembershipMessage.MemberPage;
import ochretiller.fleet.membership.MembershipMessage.MemberRequest;
import ochretiller.fleet.membership.MembershipMessage.Ping;
import ochretiller.fleet.membership.MembershipMessage.PingRequest;
import ochretiller.fleet.membership.MembershipMessage.UpdatePage;

/** Encodes and decodes the messages of the membership protocol: kinds 1 to 8. Stateless. */
final class MembershipCodec {
    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int PING_REQUEST = 3;
    private static final int INDIRECT_ACK = 4;
    private static final int DIGEST_SYNC = 5;
    private static final int UPDATE_PAGE = 6;
    private static final int MEMBER_REQUEST = 7;
    private static final int MEMBER_PAGE = 8;

    static final List<MessageFormat<?>> FORMATS =
            List.of(
                    MessageFormat.ofDefiniteLength(
                            PING,
                            Ping.class,
                            5,
                            MembershipCodec::encode,
                            MembershipCodec::readPing),
                    MessageFormat.ofDefiniteLength(
                            ACK, Ack.class, 4, MembershipCodec::encode, MembershipCodec::readAck),
                    MessageFormat.ofDefiniteLength(
                            PING_REQUEST,
                            PingRequest.class,
                            4,
                            MembershipCodec::encode,
                            MembershipCodec::readPingRequest),
                    MessageFormat.ofDefiniteLength(
                            INDIRECT_ACK,
                            IndirectAck.class,
                            2,
                            MembershipCodec::encode,
                            MembershipCodec::readIndirectAck),
                    MessageFormat.ofDefiniteLength(
                            DIGEST_SYNC,
                            DigestSync.class,
                            2,
                            MembershipCodec::encode,
                            MembershipCodec::readDigestSync),
                    MessageFormat.ofDefiniteLength(
                            UPDATE_PAGE,
                            UpdatePage.class,
                            1,
                            MembershipCodec::encode,
                            MembershipCodec::readUpdatePage),
                    MessageFormat.ofDefiniteLength(
                            MEMBER_REQUEST,
                            MemberRequest.class,
                            1,
                            MembershipCodec::encode,
                            MembershipCodec::readMemberRequest),
                    MessageFormat.ofDefiniteLength(
                            MEMBER_PAGE,
                            MemberPage.class,
                            1,
                            MembershipCodec::encode,
                            MembershipCodec::readMemberPage));

    private MembershipCodec() {}

    private static void encode(CBORGenerator out, Ping message) throws IOException {
        out.writeNumber(message.nonce());
        out.writeNumber(message.target());
        MemberCodec.writeGossip(out, message.gossip());
        out.writeNumber(message.digest());
    }

    private static Ping readPing(CborReader in) throws IOException {
        return new Ping(in.readLong(), in.readLong(), MemberCodec.readGossip(in), in.readLong());
    }

    private static void encode(CBORGenerator out, Ack message) throws IOException {
        out.writeNumber(message.nonce());
        MemberCodec.writeGossip(out, message.gossip());
        out.writeNumber(message.digest());
    }

    private static Ack readAck(CborReader in) throws IOException {
        return new Ack(in.readLong(), MemberCodec.readGossip(in), in.readLong());
    }

    private static void encode(CBORGenerator out, PingRequest message) throws IOException {
        out.writeNumber(message.nonce());
        out.writeNumber(message.target());
        MemberCodec.writeAddress(out, message.address());
    }

    private static PingRequest readPingRequest(CborReader in) throws IOException {
        return new PingRequest(in.readLong(), in.readLong(), MemberCodec.readAddress(in));
    }

    private static void encode(CBORGenerator out, IndirectAck message) throws IOException {
        out.writeNumber(message.nonce());
        MemberCodec.writeUpdate(out, message.target());
    }

    private static IndirectAck readIndirectAck(CborReader in) throws IOException {
        return new IndirectAck(in.readLong(), MemberCodec.readUpdate(in));
    }

    private static void encode(CBORGenerator out, DigestSync message) throws IOException {
        CborWriter.writeLongs(out, message.digests());
        out.writeBoolean(message.reciprocal());
    }

    private static DigestSync readDigestSync(CborReader in) throws IOException {
        return new DigestSync(in.readLongs(), in.readBoolean());
    }

    private static void encode(CBORGenerator out, UpdatePage message) throws IOException {
        MemberCodec.writeUpdates(out, message.updates());
    }

    private static UpdatePage readUpdatePage(CborReader in) throws IOException {
        return new UpdatePage(MemberCodec.readUpdates(in));
    }

    private static void encode(CBORGenerator out, MemberRequest message) throws IOException {
        CborWriter.writeLongs(out, message.incarnations());
    }

    private static MemberRequest readMemberRequest(CborReader in) throws IOException {
        return new MemberRequest(in.readLongs());
    }

    private static void encode(CBORGenerator out, MemberPage message) throws IOException {
        MemberCodec.writeMembers(out, message.members());
    }

    private static MemberPage readMemberPage(CborReader in) throws IOException {
        return new MemberPage(MemberCodec.readMembers(in));
    }
}
