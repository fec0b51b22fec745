package ochretiller.registry;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.logging.Logger;
import ochretiller.net.Scheduler;

/** Reports this server to the registry by UDP datagrams. Confined to the event loop. */
public final class RegistryReporter {
    private static final Logger LOG = Logger.getLogger(RegistryReporter.class.getName());

    /**
     * The registry drops an entry after 3 s without a report, so several reports in a row may be
     * lost.
     */
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

    private final Scheduler scheduler;
    private final String name;
    private final DatagramSocket socket;
    private InetSocketAddress address;
    private boolean isLeaving;

    /**
     * Creates a reporter that is not started.
     *
     * @param scheduler the event loop
     * @param address the registry's address
     * @param name the name of this server
     * @throws IOException if no UDP socket can be opened
     */
    public RegistryReporter(Scheduler scheduler, InetSocketAddress address, String name)
            throws IOException {
        this.scheduler = scheduler;
        this.address = address;
        this.name = name;
        this.socket = new DatagramSocket();
    }

    /** Reports this server as available, now and periodically until {@link #reportLeaving}. */
    public void start() {
        if (isLeaving) {
            return;
        }
        report("on");
        scheduler.runAfter(REPORT_INTERVAL, this::start);
    }

    /** Changes the registry's address and reports to the new one at once. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        report(isLeaving ? "off" : "on");
    }

    /** Reports once that this server is leaving; ends the periodic reports, which would undo it. */
    public void reportLeaving() {
        isLeaving = true;
        report("off");
    }

    private void report(String state) {
        byte[] message = ("HERE " + name + ' ' + state).getBytes(StandardCharsets.US_ASCII);
        try {
            socket.send(new DatagramPacket(message, message.length, address));
        } catch (IOException e) {
            // The next report follows soon; the only effect is that gateways are informed later.
            LOG.fine(() -> "cannot send a report to the registry: " + e.getMessage());
        }
    }
}
