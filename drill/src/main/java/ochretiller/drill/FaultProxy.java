package ochretiller.drill;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;
import ochretiller.emulator.fleet.LinkFaults;

/**
 * Relays UDP packets between servers and applies the scenario's network faults. Each server
 * advertises the port of its relay, and a fault depends on the packet's sender and receiver.
 */
final class FaultProxy implements AutoCloseable {
    private static final int MAX_PACKET_BYTES = 64 * 1024;

    /** Limit on delayed packets at one time; packets beyond it are lost. */
    private static final int MAX_DELAYED_PACKETS = 100_000;

    /** Number of latest packets, of all relays, that floods can replay. */
    private static final int MAX_RECENT_PACKETS = 256;

    private final LinkFaults faults;
    private final DoubleSupplier now;
    private final Selector selector = Selector.open();
    private final Map<Integer, Relay> relays = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> addressByPort = new ConcurrentHashMap<>();
    private final PriorityQueue<DelayedPacket> delayedPackets =
            new PriorityQueue<>((a, b) -> Long.compare(a.dueNanos, b.dueNanos));
    private final Map<Integer, Integer> slotByAddress = new ConcurrentHashMap<>();
    private final List<byte[]> packetHistory = new ArrayList<>();

    /** Slots that are cut off from all others, in addition to the scenario's faults. */
    private volatile Set<Integer> isolatedSlots = Set.of();

    final AtomicLong forwarded = new AtomicLong();
    final AtomicLong dropped = new AtomicLong();

    private record DelayedPacket(long dueNanos, Relay relay, byte[] bytes) {}

    /** The relay of one address and the socket address of its server. */
    private static final class Relay {
        final int address;
        final DatagramChannel channel;
        final InetSocketAddress serverAddress;

        Relay(int address, DatagramChannel channel, InetSocketAddress serverAddress) {
            this.address = address;
            this.channel = channel;
            this.serverAddress = serverAddress;
        }
    }

    FaultProxy(LinkFaults faults, DoubleSupplier now) throws IOException {
        this.faults = faults;
        this.now = now;
    }

    /** Opens the relay of an address and returns the relay's port. */
    int openRelay(int address, int serverPort) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        channel.configureBlocking(false);
        Relay relay =
                new Relay(
                        address,
                        channel,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), serverPort));
        relays.put(address, relay);
        addressByPort.put(serverPort, address);
        selector.wakeup();
        channel.register(selector, SelectionKey.OP_READ, relay);
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** Sets the slot of the server that now uses an address. */
    void assignSlot(int address, int slot) {
        slotByAddress.put(address, slot);
    }

    /** Cuts these slots off from all others until the next call; an empty set ends the cut. */
    void isolate(Set<Integer> slots) {
        isolatedSlots = Set.copyOf(slots);
    }

    void start() {
        Thread thread = new Thread(this::forwardPackets, "links");
        thread.setDaemon(true);
        thread.setPriority(Thread.MAX_PRIORITY);
        thread.start();
    }

    private void forwardPackets() {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_PACKET_BYTES);
        try {
            while (selector.isOpen()) {
                long waitMs =
                        delayedPackets.isEmpty()
                                ? 50
                                : Math.max(
                                        1,
                                        (delayedPackets.peek().dueNanos - System.nanoTime())
                                                / 1_000_000);
                selector.select(Math.min(waitMs, 50));
                for (SelectionKey key : selector.selectedKeys()) {
                    Relay relay = (Relay) key.attachment();
                    InetSocketAddress from;
                    while ((from = (InetSocketAddress) relay.channel.receive(buffer.clear()))
                            != null) {
                        forward(relay, from, buffer.flip());
                    }
                }
                selector.selectedKeys().clear();
                while (!delayedPackets.isEmpty()
                        && delayedPackets.peek().dueNanos <= System.nanoTime()) {
                    send(delayedPackets.poll());
                }
            }
        } catch (ClosedSelectorException | ClosedChannelException e) {
            // the proxy was closed
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void forward(Relay relay, InetSocketAddress from, ByteBuffer packet) {
        Integer sender = addressByPort.get(from.getPort());
        byte[] bytes = new byte[packet.remaining()];
        packet.get(bytes);
        synchronized (packetHistory) {
            if (packetHistory.size() == MAX_RECENT_PACKETS) {
                packetHistory.remove(0);
            }
            packetHistory.add(bytes);
        }
        int fromSlot = sender == null ? 0 : slotByAddress.getOrDefault(sender, 0);
        int toSlot = slotByAddress.getOrDefault(relay.address, 0);
        boolean isolated = isolatedSlots.contains(fromSlot) != isolatedSlots.contains(toSlot);
        List<LinkFaults.Copy> copies =
                isolated ? List.of() : faults.deliveredCopies(fromSlot, toSlot, now.getAsDouble());
        if (copies.isEmpty()) {
            dropped.incrementAndGet();
        }
        for (LinkFaults.Copy copy : copies) {
            byte[] sent = bytes;
            if (copy.isCorrupted()) {
                sent = bytes.clone();
                sent[(int) (forwarded.get() % sent.length)] ^= 0x20;
            }
            forwarded.incrementAndGet();
            if (copy.delayMs() <= 0) {
                send(new DelayedPacket(0, relay, sent));
            } else if (delayedPackets.size() < MAX_DELAYED_PACKETS) {
                delayedPackets.add(
                        new DelayedPacket(
                                System.nanoTime() + (long) (copy.delayMs() * 1e6), relay, sent));
            }
        }
    }

    private static void send(DelayedPacket packet) {
        try {
            packet.relay.channel.send(ByteBuffer.wrap(packet.bytes), packet.relay.serverAddress);
        } catch (IOException e) {
            // no server listens there: the packet is lost, as on a network
        }
    }

    /** Returns the packets received last, for floods that replay them. */
    List<byte[]> recentPackets() {
        synchronized (packetHistory) {
            return List.copyOf(packetHistory);
        }
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (Relay relay : relays.values()) {
            relay.channel.close();
        }
    }
}
