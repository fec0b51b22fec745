package ochretiller.registry;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.logging.Logger;
import ochretiller.net.Scheduler;

/** Reports this server by single datagrams that get no answer. */
public final class RegistryReporter {
    private static final Logger LOG = Logger.getLogger(RegistryReporter.class.getName());

    /**
     * An entry lapses after 3 s: of a dozen reports the last may come a second late, and many may
     * be lost.
     */
    private static final Duration EVERY = Duration.ofMillis(250);

    private final Scheduler schedule;
    private InetSocketAddress address;
    private final String name;
    private final DatagramSocket socket;
    private boolean leaving;

    public RegistryReporter(Scheduler schedule, InetSocketAddress address, String name)
            throws IOException {
        this.schedule = schedule;
        this.address = address;
        this.name = name;
        this.socket = new DatagramSocket();
    }

    public void start() {
        if (leaving) {
            return;
        }
        report("on");
        schedule.after(EVERY, this::start);
    }

    /** Reports go to another address from now on. */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        report(leaving ? "off" : "on");
    }

    /** Says so once; later reports would keep the entry on the list. */
    public void leave() {
        leaving = true;
        report("off");
    }

    private void report(String state) {
        byte[] words = ("HERE " + name + ' ' + state).getBytes(StandardCharsets.US_ASCII);
        try {
            socket.send(new DatagramPacket(words, words.length, address));
        } catch (IOException e) {
            LOG.fine(
                    () ->
                            "no report to the roster: "
                                    + e.getMessage()); // without it, only the list is late
        }
    }
}
