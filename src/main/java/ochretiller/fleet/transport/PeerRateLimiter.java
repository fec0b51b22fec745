package ochretiller.fleet.transport;

import java.net.InetSocketAddress;
import java.util.Map;
import ochretiller.collections.BoundedMap;

/**
 * Limits packets and bytes per second with token buckets, by source address and in total. Applied
 * before decoding: a packet of a flood costs one map lookup, and one source does not delay others.
 * Confined to the reader thread.
 */
final class PeerRateLimiter {
    /**
     * Limit for each source address. A server sends about 20 packets per second to all peers
     * together, and a few more for each keyed invocation.
     */
    private static final double PACKETS_PER_SECOND = 2_000;

    private static final double BYTES_PER_SECOND = 2_000_000;

    /** Limit for all addresses together: at this rate, seals take a tenth of a core to verify. */
    private static final double TOTAL_PACKETS_PER_SECOND = 12_000;

    private static final double TOTAL_BYTES_PER_SECOND =
            TOTAL_PACKETS_PER_SECOND * PacketCodec.MAX_PACKET_BYTES;

    /** Addresses with a bucket each; floods from more addresses are limited in total only. */
    private static final int MAX_TRACKED_PEERS = 4096;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Bucket total;
    private final Map<InetSocketAddress, Bucket> peers =
            BoundedMap.evictingLeastRecentlyUsed(MAX_TRACKED_PEERS);

    /**
     * Creates a limiter with full buckets.
     *
     * @param nowNanos current {@link System#nanoTime()}
     */
    PeerRateLimiter(long nowNanos) {
        total = new Bucket(TOTAL_PACKETS_PER_SECOND, TOTAL_BYTES_PER_SECOND, nowNanos);
    }

    /** Returns whether a packet of {@code size} bytes is within the limits, and counts it. */
    boolean tryAcquire(InetSocketAddress source, int size, long nowNanos) {
        Bucket peer =
                peers.computeIfAbsent(
                        source,
                        ignored -> new Bucket(PACKETS_PER_SECOND, BYTES_PER_SECOND, nowNanos));
        return peer.tryAcquire(size, nowNanos) && total.tryAcquire(size, nowNanos);
    }

    /** Token bucket for packets and bytes that holds the allowance of one second. */
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
