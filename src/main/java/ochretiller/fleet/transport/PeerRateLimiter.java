package ochretiller.fleet.transport;

import java.net.InetSocketAddress;
import java.util.Map;
import ochretiller.collections.BoundedMap;

/**
 * Limits packets and bytes per second by source address with token buckets, before anything is
 * decoded: a flood from one address costs a look-up and delays nobody else. Used by the reading
 * thread alone.
 */
final class PeerRateLimiter {
    /**
     * A server sends some 20 packets a second to all others together, and some more for each
     * invocation with an idempotency key.
     */
    private static final double PACKETS_PER_SECOND = 2_000;

    private static final double BYTES_PER_SECOND = 2_000_000;

    /** Limit for all addresses together: to check their seals takes a tenth of a core. */
    private static final double TOTAL_PACKETS_PER_SECOND = 12_000;

    private static final double TOTAL_BYTES_PER_SECOND =
            TOTAL_PACKETS_PER_SECOND * PacketCodec.MAX_PACKET_BYTES;

    /** Addresses that are told apart; a flood from more of them meets the limit for all. */
    private static final int MAX_TRACKED_PEERS = 4096;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Bucket total;
    private final Map<InetSocketAddress, Bucket> peers =
            BoundedMap.evictingLeastRecentlyUsed(MAX_TRACKED_PEERS);

    /**
     * Creates a limiter with full buckets.
     *
     * @param nowNanos of {@link System#nanoTime()}
     */
    PeerRateLimiter(long nowNanos) {
        total = new Bucket(TOTAL_PACKETS_PER_SECOND, TOTAL_BYTES_PER_SECOND, nowNanos);
    }

    /** Returns whether a packet of this size may be read. */
    boolean tryAcquire(InetSocketAddress source, int size, long nowNanos) {
        Bucket peer =
                peers.computeIfAbsent(
                        source,
                        ignored -> new Bucket(PACKETS_PER_SECOND, BYTES_PER_SECOND, nowNanos));
        return peer.tryAcquire(size, nowNanos) && total.tryAcquire(size, nowNanos);
    }

    /** A token bucket for packets and bytes, which holds what accrues in one second. */
    private static final class Bucket {
        private final double packetsPerSecond;
        private final double bytesPerSecond;
        private double packets;
        private double bytes;
        private long refilledAtNanos;

        Bucket(double packetsPerSecond, double bytesPerSecond, long nowNanos) {
            this.packetsPerSecond = packetsPerSecond;
            this.bytesPerSecond = bytesPerSecond;
            this.packets = packetsPerSecond;
            this.bytes = bytesPerSecond;
            this.refilledAtNanos = nowNanos;
        }

        boolean tryAcquire(int size, long nowNanos) {
            refill(nowNanos);
            if (packets < 1 || bytes < size) {
                return false;
            }
            packets--;
            bytes -= size;
            return true;
        }

        private void refill(long nowNanos) {
            double seconds = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
            refilledAtNanos = nowNanos;
            packets = Math.min(packetsPerSecond, packets + seconds * packetsPerSecond);
            bytes = Math.min(bytesPerSecond, bytes + seconds * bytesPerSecond);
        }
    }
}
