package ochretiller.fleet.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.logging.Logger;
import ochretiller.net.Scheduler;

/**
 * Datagrams of a fleet. One thread reads, holds each packet against the bounds, opens it and hands
 * it to the schedule; sending is the schedule's and never waits. A channel of the JDK's and not
 * MINA's acceptor: that keeps a session for each address that ever sent, and a flood from made-up
 * addresses would fill the memory.
 */
public final class PeerSocket {
    private static final Logger LOG = Logger.getLogger(PeerSocket.class.getName());

    /** Packets that wait for the one thread: a comparison of views, many times over. */
    private static final int MAX_QUEUED_PACKETS = 1024;

    /** The kernel's room for what is not read yet: a second's pause at a comparison of views. */
    private static final int SOCKET_BUFFER_BYTES = 512 * 1024;

    private final Scheduler schedule;
    private final PacketCodec codec;
    private final Consumer<ReceivedPacket> taker;
    private final DatagramChannel channel;
    private final Selector selector;
    private final ReplayWindow window = new ReplayWindow();
    private final AtomicInteger behind = new AtomicInteger();
    private final AtomicLongArray rejectedCount = new AtomicLongArray(RejectReason.values().length);
    public final LongAdder sentPackets = new LongAdder();
    public final LongAdder sentBytes = new LongAdder();
    public final LongAdder readPackets = new LongAdder();
    public final LongAdder readBytes = new LongAdder();
    public final LongAdder droppedSends = new LongAdder();

    public PeerSocket(
            Scheduler schedule,
            PacketCodec codec,
            InetSocketAddress listen,
            Consumer<ReceivedPacket> taker)
            throws IOException {
        this.schedule = schedule;
        this.codec = codec;
        this.taker = taker;
        channel = DatagramChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER_BYTES);
            channel.bind(listen);
        } catch (IOException e) {
            channel.close();
            throw new IOException(
                    "cannot listen for the fleet on "
                            + listen
                            + ": it is in use or not this machine's",
                    e);
        }
        channel.configureBlocking(false);
        selector = Selector.open();
        channel.register(selector, SelectionKey.OP_READ);
    }

    public void start() {
        Thread thread = new Thread(this::read, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    public long rejectedCount(RejectReason why) {
        return rejectedCount.get(why.ordinal());
    }

    private void refuse(RejectReason why) {
        rejectedCount.incrementAndGet(why.ordinal());
    }

    private void read() {
        ByteBuffer buffer =
                ByteBuffer.allocate(
                        PacketCodec.MAX_PACKET_BYTES + 1); // one byte more shows what is too long
        PeerRateLimiter budget = new PeerRateLimiter(System.nanoTime());
        while (channel.isOpen()) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                InetSocketAddress from;
                while ((from = (InetSocketAddress) channel.receive(buffer.clear())) != null) {
                    taken(buffer, from, budget);
                }
            } catch (ClosedSelectorException e) {
                return;
            } catch (IOException e) {
                // A refused packet of ours comes back as a fault of the socket: it says nothing of
                // what others send.
                LOG.fine(() -> "fleet's socket: " + e.getMessage());
            }
        }
    }

    private void taken(ByteBuffer buffer, InetSocketAddress from, PeerRateLimiter budget) {
        int length = buffer.flip().remaining();
        readPackets.increment();
        readBytes.add(length);
        if (!budget.tryAcquire(from, length, System.nanoTime())) {
            refuse(RejectReason.OVER_BUDGET);
            return;
        }
        ReceivedPacket opened;
        try {
            opened = codec.open(buffer.array(), length);
        } catch (RejectedPacketException e) {
            refuse(e.reason());
            return;
        }
        if (!window.take(opened.sender().incarnation(), opened.sequence())) {
            refuse(RejectReason.REPLAYED);
            return;
        }
        if (behind.incrementAndGet() > MAX_QUEUED_PACKETS) {
            behind.decrementAndGet();
            refuse(RejectReason.BEHIND);
            return;
        }
        schedule.post(
                () -> {
                    behind.decrementAndGet();
                    taker.accept(opened);
                });
    }

    /**
     * Sends, or counts that it could not: what is lost here is said again as what is lost on the
     * way.
     */
    public void send(InetSocketAddress to, byte[] bytes) {
        try {
            if (channel.send(ByteBuffer.wrap(bytes), to) == bytes.length) {
                sentPackets.increment();
                sentBytes.add(bytes.length);
                return;
            }
        } catch (IOException | RuntimeException e) {
            LOG.fine(() -> "fleet's socket: " + e.getMessage());
        }
        droppedSends.increment();
    }

    public void close() {
        try {
            channel.close();
            selector.close();
        } catch (IOException e) {
            LOG.fine(() -> "fleet's socket: " + e.getMessage());
        }
    }
}
