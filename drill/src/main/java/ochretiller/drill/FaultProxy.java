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
 * What lies between servers: whoever is told a server's address is told a relay's, and the relay
 * does to each packet what the script says for its sender and its receiver.
 */
final class FaultProxy implements AutoCloseable {
    private static final int LONGEST = 64 * 1024;

    /** Packets that are under way at once. */
    private static final int MOST = 100_000;

    /** Packets of each address that are kept to be replayed. */
    private static final int KEPT = 256;

    private final LinkFaults faults;
    private final DoubleSupplier now;
    private final Selector selector = Selector.open();
    private final Map<Integer, Relay> relays = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> byPort = new ConcurrentHashMap<>();
    private final PriorityQueue<Late> late =
            new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final Map<Integer, Integer> slots = new ConcurrentHashMap<>();
    private final List<byte[]> kept = new ArrayList<>();

    /** Servers that are cut off from all others, beside what the script says. */
    private volatile Set<Integer> apart = Set.of();

    final AtomicLong passed = new AtomicLong();
    final AtomicLong dropped = new AtomicLong();

    private record Late(long at, Relay relay, byte[] bytes) {}

    /** One address, and the server behind it. */
    private static final class Relay {
        final int address;
        final DatagramChannel channel;
        final InetSocketAddress real;

        Relay(int address, DatagramChannel channel, InetSocketAddress real) {
            this.address = address;
            this.channel = channel;
            this.real = real;
        }
    }

    FaultProxy(LinkFaults faults, DoubleSupplier now) throws IOException {
        this.faults = faults;
        this.now = now;
    }

    /** Opens the way to an address; its relay's port. */
    int open(int address, int realPort) throws IOException {
        DatagramChannel channel = DatagramChannel.open();
        channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        channel.configureBlocking(false);
        Relay relay =
                new Relay(
                        address,
                        channel,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), realPort));
        relays.put(address, relay);
        byPort.put(realPort, address);
        selector.wakeup();
        channel.register(selector, SelectionKey.OP_READ, relay);
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** Who is at an address from now on. */
    void at(int address, int slot) {
        slots.put(address, slot);
    }

    /** From now on these are apart from all others. */
    void cut(Set<Integer> these) {
        apart = Set.copyOf(these);
    }

    void start() {
        Thread thread = new Thread(this::work, "links");
        thread.setDaemon(true);
        thread.setPriority(Thread.MAX_PRIORITY);
        thread.start();
    }

    private void work() {
        ByteBuffer buffer = ByteBuffer.allocate(LONGEST);
        try {
            while (selector.isOpen()) {
                long wait =
                        late.isEmpty()
                                ? 50
                                : Math.max(1, (late.peek().at - System.nanoTime()) / 1_000_000);
                selector.select(Math.min(wait, 50));
                for (SelectionKey key : selector.selectedKeys()) {
                    Relay relay = (Relay) key.attachment();
                    InetSocketAddress from;
                    while ((from = (InetSocketAddress) relay.channel.receive(buffer.clear()))
                            != null) {
                        pass(relay, from, buffer.flip());
                    }
                }
                selector.selectedKeys().clear();
                while (!late.isEmpty() && late.peek().at <= System.nanoTime()) {
                    send(late.poll());
                }
            }
        } catch (ClosedSelectorException | ClosedChannelException e) {
            // the drill is over
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void pass(Relay relay, InetSocketAddress from, ByteBuffer packet) {
        Integer sender = byPort.get(from.getPort());
        byte[] bytes = new byte[packet.remaining()];
        packet.get(bytes);
        synchronized (kept) {
            if (kept.size() == KEPT) {
                kept.remove(0);
            }
            kept.add(bytes);
        }
        int fromSlot = sender == null ? 0 : slots.getOrDefault(sender, 0);
        int toSlot = slots.getOrDefault(relay.address, 0);
        boolean cut = apart.contains(fromSlot) != apart.contains(toSlot);
        List<LinkFaults.Copy> fate =
                cut ? List.of() : faults.fate(fromSlot, toSlot, now.getAsDouble());
        if (fate.isEmpty()) {
            dropped.incrementAndGet();
        }
        for (LinkFaults.Copy copy : fate) {
            byte[] sent = bytes;
            if (copy.spoilt()) {
                sent = bytes.clone();
                sent[(int) (passed.get() % sent.length)] ^= 0x20;
            }
            passed.incrementAndGet();
            if (copy.delayMs() <= 0) {
                send(new Late(0, relay, sent));
            } else if (late.size() < MOST) {
                late.add(new Late(System.nanoTime() + (long) (copy.delayMs() * 1e6), relay, sent));
            }
        }
    }

    private static void send(Late packet) {
        try {
            packet.relay.channel.send(ByteBuffer.wrap(packet.bytes), packet.relay.real);
        } catch (IOException e) {
            // nobody is there: the packet is lost, as on a network
        }
    }

    /** Packets that went by, for floods that replay them. */
    List<byte[]> heard() {
        synchronized (kept) {
            return List.copyOf(kept);
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
