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
 * The UDP socket of a server. A reading thread applies the limits, decodes each packet and posts it
 * to the event loop; packets are sent from the event loop and never wait.
 *
 * <p>It uses a channel of the JDK and not an acceptor of MINA, which keeps a session for each
 * address that ever sent: a flood from forged addresses would fill the memory.
 */
public final class PeerSocket {
    private static final Logger LOG = Logger.getLogger(PeerSocket.class.getName());

    /** Packets that wait for the event loop: many times what a synchronization of views needs. */
    private static final int MAX_QUEUED_PACKETS = 1024;

    /** Buffer of the kernel: a pause of one second while views are synchronized. */
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
     * Binds the socket; packets are read once {@link #start()} is called.
     *
     * @param receiver is called on the event loop with each packet that was accepted
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
                    "cannot listen for the fleet on "
                            + listenAddress
                            + ": it is in use or not this machine's",
                    e);
        }
        channel.configureBlocking(false);
        selector = Selector.open();
        channel.register(selector, SelectionKey.OP_READ);
    }

    /** Starts the reading thread, which ends when the socket is closed. */
    public void start() {
        Thread thread = new Thread(this::readUntilClosed, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the counters of packets and bytes. */
    public TrafficCounters traffic() {
        return traffic;
    }

    /** Returns how many packets were rejected for a reason. From any thread. */
    public long rejectedCount(RejectReason reason) {
        return rejectedCounts.get(reason.ordinal());
    }

    private void reject(RejectReason reason) {
        rejectedCounts.incrementAndGet(reason.ordinal());
    }

    private void readUntilClosed() {
        // One byte more than is allowed shows that a packet is too long.
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
                // An ICMP error for a packet of ours is reported here; reading goes on.
                LOG.fine(() -> "fleet's socket: " + e.getMessage());
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
        traffic.packetRead(length);
        if (!rateLimiter.tryAcquire(source, length, System.nanoTime())) {
            reject(RejectReason.OVER_BUDGET);
            return;
        }
        ReceivedPacket packet;
        try {
            packet = codec.open(buffer.array(), length);
        } catch (RejectedPacketException e) {
            reject(e.reason());
            return;
        }
        if (!replayWindow.take(packet.sender().incarnation(), packet.sequence())) {
            reject(RejectReason.REPLAYED);
            return;
        }
        if (queuedPackets.incrementAndGet() > MAX_QUEUED_PACKETS) {
            queuedPackets.decrementAndGet();
            reject(RejectReason.BEHIND);
            return;
        }
        scheduler.post(() -> deliver(packet));
    }

    private void deliver(ReceivedPacket packet) {
        queuedPackets.decrementAndGet();
        receiver.accept(packet);
    }

    /**
     * Sends a packet without waiting. One that the socket does not take is counted and lost, as it
     * could be lost on the way; the protocols repeat what matters.
     */
    public void send(InetSocketAddress destination, byte[] packet) {
        try {
            if (channel.send(ByteBuffer.wrap(packet), destination) == packet.length) {
                traffic.packetSent(packet.length);
                return;
            }
        } catch (IOException | RuntimeException e) {
            LOG.fine(() -> "fleet's socket: " + e.getMessage());
        }
        traffic.packetDropped();
    }

    /** Closes the socket and ends the reading thread. */
    public void close() {
        try {
            channel.close();
            selector.close();
        } catch (IOException e) {
            LOG.fine(() -> "fleet's socket: " + e.getMessage());
        }
    }
}
