package ochretiller.fleet.transport;

import java.util.concurrent.atomic.LongAdder;

/** Counts the packets and bytes that a {@link PeerSocket} sends and receives. Thread-safe. */
public final class TrafficCounters {
    private final LongAdder sentPackets = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder droppedPackets = new LongAdder();
    private final LongAdder receivedPackets = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();

    void countSent(int size) {
        sentPackets.increment();
        sentBytes.add(size);
    }

    void countDropped() {
        droppedPackets.increment();
    }

    void countReceived(int size) {
        receivedPackets.increment();
        receivedBytes.add(size);
    }

    /** Returns the number of packets that were handed to the kernel. */
    public long sentPackets() {
        return sentPackets.sum();
    }

    /** Returns the number of bytes that were handed to the kernel. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the number of packets that could not be sent. */
    public long droppedPackets() {
        return droppedPackets.sum();
    }

    /** Returns the number of received packets, including rejected ones. */
    public long receivedPackets() {
        return receivedPackets.sum();
    }

    /** Returns the number of received bytes, including those of rejected packets. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }
}
