package ochretiller.fleet.service;

import java.net.InetSocketAddress;
import java.util.Map;
import ochretiller.collections.BoundedMap;
import ochretiller.fleet.membership.MembershipProtocol;
import ochretiller.fleet.membership.OutboundPacket;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.transport.PacketCodec;
import ochretiller.fleet.transport.PeerSocket;

/** Assigns sequence numbers to packets, seals and sends them. Confined to the event loop. */
final class PacketSender implements PeerSender {
    /** Maximum number of cached socket addresses; exceeds the size of a fleet. */
    private static final int MAX_CACHED_ADDRESSES = 4096;

    private final MembershipProtocol membership;
    private final PacketCodec codec;
    private final PeerSocket socket;
    private final Map<PeerAddress, InetSocketAddress> socketAddresses =
            BoundedMap.evictingLeastRecentlyUsed(MAX_CACHED_ADDRESSES);
    private long lastSequence;

    PacketSender(MembershipProtocol membership, PacketCodec codec, PeerSocket socket) {
        this.membership = membership;
        this.codec = codec;
        this.socket = socket;
    }

    /** Sends to the live member with this name; if there is none, the message is dropped. */
    @Override
    public void send(String server, Object message) {
        membership.addressOf(server).ifPresent(address -> send(address, message));
    }

    private void send(PeerAddress address, Object message) {
        byte[] packet = codec.seal(membership.self(), message, nextSequence());
        socket.send(resolve(address), packet);
    }

    /** Sends a packet of the membership protocol. */
    void send(OutboundPacket outbound) {
        byte[] packet = codec.seal(outbound.packet(), nextSequence());
        socket.send(resolve(outbound.destination()), packet);
    }

    private long nextSequence() {
        lastSequence++;
        return lastSequence;
    }

    private InetSocketAddress resolve(PeerAddress address) {
        return socketAddresses.computeIfAbsent(
                address, each -> new InetSocketAddress(each.host(), each.port()));
    }
}
