package ochretiller.registry;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.logging.Logger;
import ochretiller.net.Scheduler;

/** Reports this server to the registry by UDP datagrams. Belongs to the event loop. */
public final class RegistryReporter {
    private static final Logger LOG = Logger.getLogger(RegistryReporter.class.getName());

    /**
     * The registry drops an entry after 3 s without a report: at this interval many may be lost.
     */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

    private final Scheduler schedule;
    private final String name;
    private final DatagramSocket socket;
    private InetSocketAddress address;
    private boolean isLeaving;

    /**
     * A reporter that has sent nothing yet.
     *
     * @param schedule the event loop
     * @param address the registry's address
     * @param name the name of this server
     * @throws IOException where no UDP socket can be opened
     */
    public RegistryReporter(Scheduler schedule, InetSocketAddress address, String name)
            throws IOException {
        this.schedule = schedule;
        this.address = address;
        this.name = name;
        this.socket = new DatagramSocket();
    }

    /** Reports this server as present, now and at intervals until {@link #leave}. */
    public void start() {
        if (isLeaving) {
            return;
        }
        report("on");
        schedule.after(REPORT_INTERVAL, this::start);
    }

    /** Changes the registry's address. */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        report(isLeaving ? "off" : "on");
    }

    /** Reports once that this server leaves; later reports would keep its entry. */
    public void leave() {
        isLeaving = true;
        report("off");
    }

    private void report(String state) {
        byte[] message = ("HERE " + name + ' ' + state).getBytes(StandardCharsets.US_ASCII);
        try {
            socket.send(new DatagramPacket(message, message.length, address));
        } catch (IOException e) {
            // The next report follows soon; until then gateways know of this server later only.
            LOG.fine(() -> "no report to the roster: " + e.getMessage());
        }
    }
}
