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
    private static final double PACKETS = 2_000;

    private static final double BYTES = 2_000_000;

    /** What all together may send: the seals of it take a tenth of a core. */
    private static final double ALL_PACKETS = 12_000;

    /** Addresses that are told apart; a flood from more of them meets the bound on all. */
    private static final int PEERS = 4096;

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
            BoundedMap.evictingLeastRecentlyUsed(PEERS);

    PeerRateLimiter(long now) {
        all = new Bucket(ALL_PACKETS, ALL_PACKETS * PacketCodec.LONGEST, now);
    }

    boolean take(InetSocketAddress from, int size, long now) {
        Bucket mine = peers.computeIfAbsent(from, ignored -> new Bucket(PACKETS, BYTES, now));
        return mine.take(PACKETS, BYTES, size, now)
                && all.take(ALL_PACKETS, ALL_PACKETS * PacketCodec.LONGEST, size, now);
    }
}
