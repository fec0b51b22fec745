package ochretiller.fakes;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A processor, a records service and a roster that do what the body of a request says, or what a
 * script is told to do.
 */
public final class FakeServices implements AutoCloseable {
    /** Notices that are told again to a new link; as many as the page says. */
    private static final int NOTICES = 4_000;

    private final InetAddress host;
    private final Consumer<String> heard;
    private final Consumer<String> reports;
    private final List<String> notices = new ArrayList<>();
    private final Set<String> begun = new HashSet<>();
    private ServerSocket processor;
    private ServerSocket records;
    private DatagramSocket roster;
    private long noticed;

    /** The link of the processor and the connection for calls that were made last. */
    public volatile FakeConnection link;

    public volatile FakeConnection calls;

    /** What the processor says as its greeting. */
    public volatile String greeting = "hi hot 3600000\r\n";

    /**
     * Whether notices are told again to a new link, and a run that was begun is never begun again.
     */
    public volatile boolean keepsNotices;

    /** Whether the processor is not up: a link is accepted and not greeted until {@link #speak}. */
    public volatile boolean silent;

    private FakeConnection ungreeted;
    private long ungreetedRead;

    /** What becomes of a run; by default its body says so. */
    public volatile Runs runs = this::asTheBodySays;

    /**
     * What a run does: it calls back to {@link #complete} or {@link #notice}, or leaves it open.
     */
    @FunctionalInterface
    public interface Runs {
        void begun(String rid, String operation, String body) throws IOException;
    }

    /**
     * Opens all three.
     *
     * @param ports of processor, records service and roster; 0 for free ones
     * @param heard told of each command and call, on threads of the stand-ins
     * @param reports told of each report to the roster
     */
    public FakeServices(String host, int[] ports, Consumer<String> heard, Consumer<String> reports)
            throws IOException {
        this.host = InetAddress.getByName(host);
        this.heard = heard;
        this.reports = reports;
        open(ports);
    }

    /** The stand-ins go on at new addresses; connections to the old ones stay. */
    public void move() throws IOException {
        open(new int[] {0, 0, 0});
    }

    private void open(int[] ports) throws IOException {
        ServerSocket engine = processor = listen(ports[0]);
        DaemonThreads.start(
                () -> {
                    while (true) {
                        FakeConnection wire = new FakeConnection(engine.accept());
                        DaemonThreads.start(() -> serveProcessor(wire));
                    }
                });
        openRecords(ports[1]);
        DatagramSocket list = roster = new DatagramSocket(ports[2], host);
        DaemonThreads.start(
                () -> {
                    while (true) {
                        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
                        list.receive(packet);
                        reports.accept(
                                new String(
                                        packet.getData(),
                                        0,
                                        packet.getLength(),
                                        StandardCharsets.US_ASCII));
                    }
                });
    }

    private ServerSocket listen(int port) throws IOException {
        ServerSocket listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(host, port), 50);
        return listening;
    }

    public int processorPort() {
        return processor.getLocalPort();
    }

    public int recordsPort() {
        return records.getLocalPort();
    }

    public int rosterPort() {
        return roster.getLocalPort();
    }

    private void serveProcessor(FakeConnection wire) throws IOException {
        wire.patient();
        for (String line = wire.line(); line != null; line = wire.line()) {
            String[] words = line.split(" ");
            switch (words[0]) {
                case "hello" -> greet(wire, Long.parseLong(words[1]));
                case "usage" -> {
                    wire.send("used " + words[1] + " 0.1 0 0.1 1\r\n");
                    if (!words[1].equals("fence")) {
                        continue; // gauges are asked for all the time
                    }
                }
                case "trial" -> wire.send("tried " + words[1] + " complete\r\n");
                case "begin" -> {
                    String body = wire.bytes(Integer.parseInt(words[3]));
                    heard.accept(line);
                    if (begins(words[1])) {
                        runs.begun(words[1], words[2], body);
                    }
                    continue;
                }
                case "answer" ->
                        complete(words[1], "after " + wire.bytes(Integer.parseInt(words[2])));
                default -> {} // an interrupt is only heard
            }
            heard.accept(line);
        }
    }

    private synchronized boolean begins(String rid) {
        return begun.add(rid) || !keepsNotices;
    }

    private synchronized void greet(FakeConnection wire, long read) throws IOException {
        if (silent) {
            ungreeted = wire;
            ungreetedRead = read;
            return;
        }
        link = wire;
        wire.send(greeting);
        if (!keepsNotices) {
            return;
        }
        long first = noticed - notices.size();
        for (int i = 0; i < notices.size(); i++) {
            if (first + i + 1 > read) {
                wire.send(notices.get(i));
            }
        }
    }

    /** The processor is up: the link that waits is greeted. */
    public synchronized void speak() throws IOException {
        silent = false;
        if (ungreeted != null) {
            greet(ungreeted, ungreetedRead);
        }
        ungreeted = null;
    }

    private void asTheBodySays(String rid, String operation, String body) throws IOException {
        if (body.equals("good")) {
            complete(rid, "result of " + rid);
        }
        if (body.equals("bad")) {
            notice("complete", rid + " error 5 0\r\n\r\n");
        }
        if (body.startsWith("call ")) {
            notice("ask", rid + " " + body.length() + "\r\n" + body + "\r\n");
        }
    }

    /**
     * Says the next notice on the link; without one it waits for the next link, where notices are
     * kept.
     */
    public synchronized void notice(String verb, String rest) throws IOException {
        String text = verb + " " + ++noticed + " " + rest;
        if (keepsNotices) {
            notices.add(text);
            if (notices.size() > NOTICES) {
                notices.remove(0);
            }
            try {
                link.send(text);
            } catch (IOException e) {
                // the next link gets it
            }
        } else {
            link.send(text);
        }
    }

    public void complete(String rid, String result) throws IOException {
        notice("complete", rid + " complete 5 " + result.length() + "\r\n" + result + "\r\n");
    }

    /** The processor was restarted: it knows nothing of what was before. */
    public synchronized void restarted() {
        notices.clear();
        begun.clear();
        noticed = 0;
        greeting = "hi hot 0\r\n";
    }

    public void closeRecords() throws IOException {
        records.close();
    }

    /** The records service is back at this port. */
    public void openRecords(int port) throws IOException {
        ServerSocket service = records = listen(port);
        DaemonThreads.start(
                () -> {
                    while (true) {
                        FakeConnection wire = new FakeConnection(service.accept());
                        DaemonThreads.start(() -> serveRecords(wire));
                    }
                });
    }

    private void serveRecords(FakeConnection wire) throws IOException {
        wire.patient();
        calls = wire;
        for (String line = wire.line(); line != null; line = wire.line()) {
            heard.accept(line);
            String[] words = line.split(" ");
            if (!words[0].equals("OP")) {
                continue;
            }
            String body = wire.bytes(Integer.parseInt(words[3]));
            String ending = body.startsWith("call ") ? body.substring("call ".length()) : "DONE";
            if (ending.equals("DONE")) {
                wire.send(words[1] + " DONE 5\r\nreply\r\n");
            } else if (ending.equals("cut")) {
                wire.reset();
            } else if (!ending.equals("silence")) {
                wire.send(words[1] + " " + ending + "\r\n");
            }
        }
    }

    @Override
    public void close() throws IOException {
        processor.close();
        records.close();
        roster.close();
    }
}
