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
import java.util.function.Consumer;
import java.util.logging.Logger;
import ochretiller.net.Scheduler;

/**
 * UDP socket for packets between the servers of a fleet. A reader thread applies the rate limits,
 * decodes packets and posts them to the event loop. The event loop sends packets without blocking.
 *
 * <p>Uses a JDK channel because a MINA acceptor keeps a session for each source address: a flood
 * from forged addresses would exhaust the memory.
 */
public final class PeerSocket {
    private static final Logger LOG = Logger.getLogger(PeerSocket.class.getName());

    /** Maximum number of packets queued for the event loop: many times a membership sync. */
    private static final int MAX_QUEUED_PACKETS = 1024;

    /** Kernel receive buffer: covers a pause of one second while views are synchronized. */
    private static final int SOCKET_BUFFER_BYTES = 512 * 1024;

    private final Scheduler scheduler;
    private final PacketCodec codec;
    private final Consumer<ReceivedPacket> receiver;
    private final DatagramChannel channel;
    private final Selector selector;
    private final ReplayWindow replayWindow = new ReplayWindow();
    private final AtomicInteger queuedPackets = new AtomicInteger();
    private final AtomicLongArray rejectedCounts =
            new AtomicLongArray(RejectReason.values().length);
    private final TrafficCounters traffic = new TrafficCounters();

    /**
     * Binds the socket. Packets are read after {@link #start()}.
     *
     * @param receiver called on the event loop with each accepted packet
     * @throws IOException if the address cannot be bound
     */
    public PeerSocket(
            Scheduler scheduler,
            PacketCodec codec,
            InetSocketAddress listenAddress,
            Consumer<ReceivedPacket> receiver)
            throws IOException {
        this.scheduler = scheduler;
        this.codec = codec;
        this.receiver = receiver;
        channel = DatagramChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER_BYTES);
            channel.bind(listenAddress);
        } catch (IOException e) {
            channel.close();
            throw new IOException(
                    "cannot bind the fleet's UDP socket to "
                            + listenAddress
                            + ": the address is in use or not local",
                    e);
        }
        channel.configureBlocking(false);
        selector = Selector.open();
        channel.register(selector, SelectionKey.OP_READ);
    }

    /** Starts the reader thread, which ends when the socket is closed. */
    public void start() {
        Thread thread = new Thread(this::readUntilClosed, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the counters of packets and bytes. */
    public TrafficCounters traffic() {
        return traffic;
    }

    /** Returns the number of packets rejected for this reason. Thread-safe. */
    public long rejectedCount(RejectReason reason) {
        return rejectedCounts.get(reason.ordinal());
    }

    private void reject(RejectReason reason) {
        rejectedCounts.incrementAndGet(reason.ordinal());
    }

    private void readUntilClosed() {
        // The extra byte reveals a packet that is longer than the maximum.
        ByteBuffer buffer = ByteBuffer.allocate(PacketCodec.MAX_PACKET_BYTES + 1);
        PeerRateLimiter rateLimiter = new PeerRateLimiter(System.nanoTime());
        while (channel.isOpen()) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                readAvailable(buffer, rateLimiter);
            } catch (ClosedSelectorException e) {
                return;
            } catch (IOException e) {
                // An ICMP error for a sent packet is reported here; reading continues.
                LOG.fine(() -> "cannot receive from the fleet's socket: " + e.getMessage());
            }
        }
    }

    private void readAvailable(ByteBuffer buffer, PeerRateLimiter rateLimiter) throws IOException {
        InetSocketAddress source = receive(buffer);
        while (source != null) {
            accept(buffer, source, rateLimiter);
            source = receive(buffer);
        }
    }

    private InetSocketAddress receive(ByteBuffer buffer) throws IOException {
        return (InetSocketAddress) channel.receive(buffer.clear());
    }

    private void accept(ByteBuffer buffer, InetSocketAddress source, PeerRateLimiter rateLimiter) {
        int length = buffer.flip().remaining();
        traffic.countReceived(length);
        if (!rateLimiter.tryAcquire(source, length, System.nanoTime())) {
            reject(RejectReason.RATE_LIMITED);
            return;
        }
        ReceivedPacket packet;
        try {
            packet = codec.open(buffer.array(), length);
        } catch (RejectedPacketException e) {
            reject(e.reason());
            return;
        }
        if (!replayWindow.markReceived(packet.sender().incarnation(), packet.sequence())) {
            reject(RejectReason.REPLAYED);
            return;
        }
        if (queuedPackets.incrementAndGet() > MAX_QUEUED_PACKETS) {
            queuedPackets.decrementAndGet();
            reject(RejectReason.QUEUE_FULL);
            return;
        }
        scheduler.post(() -> deliver(packet));
    }

    private void deliver(ReceivedPacket packet) {
        queuedPackets.decrementAndGet();
        receiver.accept(packet);
    }

    /**
     * Sends a packet without blocking. A packet that the kernel does not accept is counted and
     * dropped, like one lost on the network; the protocols retry where necessary.
     */
    public void send(InetSocketAddress destination, byte[] packet) {
        try {
            if (channel.send(ByteBuffer.wrap(packet), destination) == packet.length) {
                traffic.countSent(packet.length);
                return;
            }
        } catch (IOException | RuntimeException e) {
            LOG.fine(() -> "cannot send a packet to " + destination + ": " + e.getMessage());
        }
        traffic.countDropped();
    }

    /** Closes the socket and thereby ends the reader thread. */
    public void close() {
        try {
            channel.close();
            selector.close();
        } catch (IOException e) {
            LOG.fine(() -> "cannot close the fleet's socket: " + e.getMessage());
        }
    }
}
