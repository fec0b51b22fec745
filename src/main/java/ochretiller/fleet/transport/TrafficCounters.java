package ochretiller.fleet.transport;

import java.util.concurrent.atomic.LongAdder;

/** What a {@link PeerSocket} has sent and read. Read from any thread. */
public final class TrafficCounters {
    private final LongAdder sentPackets = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder droppedPackets = new LongAdder();
    private final LongAdder readPackets = new LongAdder();
    private final LongAdder readBytes = new LongAdder();

    void packetSent(int size) {
        sentPackets.increment();
        sentBytes.add(size);
    }

    void packetDropped() {
        droppedPackets.increment();
    }

    void packetRead(int size) {
        readPackets.increment();
        readBytes.add(size);
    }

    /** Packets that the socket has taken. */
    public long sentPackets() {
        return sentPackets.sum();
    }

    /** Bytes that the socket has taken. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Packets that the socket did not take. */
    public long droppedPackets() {
        return droppedPackets.sum();
    }

    /** Packets that came in, including rejected ones. */
    public long readPackets() {
        return readPackets.sum();
    }

    /** Bytes that came in, including those of rejected packets. */
    public long readBytes() {
        return readBytes.sum();
    }
}
