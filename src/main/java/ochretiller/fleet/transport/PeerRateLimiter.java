package ochretiller.fleet.transport;

import java.net.InetSocketAddress;
import java.util.Map;
import ochretiller.collections.BoundedMap;

/**
 * How many packets and bytes each peer may send, counted by the address that they come from, before
 * anything is opened: a flood costs a look-up and delays nobody else. Used by the reading thread
 * alone.
 */
final class PeerRateLimiter {
    /**
     * A server sends some 20 packets a second to all others together, and some more for each
     * tokened invocation.
     */
    private static final double PACKETS_PER_SECOND = 2_000;

    private static final double BYTES_PER_SECOND = 2_000_000;

    /** What all together may send: the seals of it take a tenth of a core. */
    private static final double TOTAL_PACKETS_PER_SECOND = 12_000;

    /** Addresses that are told apart; a flood from more of them meets the bound on all. */
    private static final int MAX_TRACKED_PEERS = 4096;

    private static final class Bucket {
        double packets;
        double bytes;
        long at;

        Bucket(double packets, double bytes, long at) {
            this.packets = packets;
            this.bytes = bytes;
            this.at = at;
        }

        boolean take(double mostPackets, double mostBytes, int size, long now) {
            double seconds = (now - at) / 1e9;
            at = now;
            packets = Math.min(mostPackets, packets + seconds * mostPackets);
            bytes = Math.min(mostBytes, bytes + seconds * mostBytes);
            if (packets < 1 || bytes < size) {
                return false;
            }
            packets--;
            bytes -= size;
            return true;
        }
    }

    private final Bucket all;
    private final Map<InetSocketAddress, Bucket> peers =
            BoundedMap.evictingLeastRecentlyUsed(MAX_TRACKED_PEERS);

    PeerRateLimiter(long now) {
        all =
                new Bucket(
                        TOTAL_PACKETS_PER_SECOND,
                        TOTAL_PACKETS_PER_SECOND * PacketCodec.MAX_PACKET_BYTES,
                        now);
    }

    boolean tryAcquire(InetSocketAddress from, int size, long now) {
        Bucket mine =
                peers.computeIfAbsent(
                        from, ignored -> new Bucket(PACKETS_PER_SECOND, BYTES_PER_SECOND, now));
        return mine.take(PACKETS_PER_SECOND, BYTES_PER_SECOND, size, now)
                && all.take(
                        TOTAL_PACKETS_PER_SECOND,
                        TOTAL_PACKETS_PER_SECOND * PacketCodec.MAX_PACKET_BYTES,
                        size,
                        now);
    }
}
