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
 * A fake processor, records service and roster on loopback sockets. The body of a request
 * determines its outcome, unless {@link #runHandler} is replaced.
 */
public final class FakeServices implements AutoCloseable {
    /** Maximum notices resent over a new link; the number is from the protocol's specification. */
    private static final int MAX_RESENT_NOTICES = 4_000;

    private final InetAddress host;
    private final Consumer<String> commandListener;
    private final Consumer<String> reportListener;
    private final List<String> notices = new ArrayList<>();
    private final Set<String> begunRuns = new HashSet<>();
    private ServerSocket processor;
    private ServerSocket records;
    private DatagramSocket roster;
    private long noticeCount;

    /** The latest greeted link to the processor; null before the first. */
    public volatile FakeConnection processorLink;

    /** The latest connection to the records service; null before the first. */
    public volatile FakeConnection recordsConnection;

    /** The text with which the processor greets a new link. */
    public volatile String greeting = "hi hot 3600000\r\n";

    /** Whether unread notices are resent over a new link and a repeated begin is ignored. */
    public volatile boolean resendsNotices;

    /** Whether the processor is still starting: it greets no link until {@link #finishStarting}. */
    public volatile boolean isStarting;

    private FakeConnection waitingLink;
    private long waitingLinkLastRead;

    /** Determines the outcome of each run; by default the body of its request does. */
    public volatile RunHandler runHandler = this::followBody;

    /**
     * Handles a begun run: calls {@link #complete} or {@link #sendNotice}, or leaves the run open.
     */
    @FunctionalInterface
    public interface RunHandler {
        /** Called on the thread that reads the link, which it blocks until it returns. */
        void onBegin(String rid, String operation, String body) throws IOException;
    }

    /**
     * Opens all three services.
     *
     * @param ports of processor, records service and roster, in this order; 0 selects a free port
     * @param commandListener receives the line of each command and call, on the fakes' threads
     * @param reportListener receives the text of each report to the roster, on a fake's thread
     */
    public FakeServices(
            String host,
            int[] ports,
            Consumer<String> commandListener,
            Consumer<String> reportListener)
            throws IOException {
        this.host = InetAddress.getByName(host);
        this.commandListener = commandListener;
        this.reportListener = reportListener;
        open(ports);
    }

    /** Opens all three services on new free ports; the old connections stay open. */
    public void moveToNewPorts() throws IOException {
        open(new int[] {0, 0, 0});
    }

    private void open(int[] ports) throws IOException {
        ServerSocket processorSocket = processor = listen(ports[0]);
        DaemonThreads.start(
                () -> {
                    while (true) {
                        FakeConnection connection = new FakeConnection(processorSocket.accept());
                        DaemonThreads.start(() -> serveProcessor(connection));
                    }
                });
        openRecordsService(ports[1]);
        DatagramSocket rosterSocket = roster = new DatagramSocket(ports[2], host);
        DaemonThreads.start(
                () -> {
                    while (true) {
                        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
                        rosterSocket.receive(packet);
                        reportListener.accept(
                                new String(
                                        packet.getData(),
                                        0,
                                        packet.getLength(),
                                        StandardCharsets.US_ASCII));
                    }
                });
    }

    private ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(host, port), 50);
        return socket;
    }

    /** Returns the TCP port of the processor, which {@link #moveToNewPorts} changes. */
    public int processorPort() {
        return processor.getLocalPort();
    }

    /** Returns the TCP port of the records service, which {@link #moveToNewPorts} changes. */
    public int recordsPort() {
        return records.getLocalPort();
    }

    /** Returns the UDP port of the roster, which {@link #moveToNewPorts} changes. */
    public int rosterPort() {
        return roster.getLocalPort();
    }

    private void serveProcessor(FakeConnection connection) throws IOException {
        connection.disableReadTimeout();
        for (String line = connection.readLine(); line != null; line = connection.readLine()) {
            String[] words = line.split(" ");
            switch (words[0]) {
                case "hello" -> greet(connection, Long.parseLong(words[1]));
                case "usage" -> {
                    connection.send("used " + words[1] + " 0.1 0 0.1 1\r\n");
                    if (!words[1].equals("fence")) {
                        continue; // the gauges are polled, which would flood the listener
                    }
                }
                case "trial" -> connection.send("tried " + words[1] + " complete\r\n");
                case "begin" -> {
                    String body = connection.readBytes(Integer.parseInt(words[3]));
                    commandListener.accept(line);
                    if (shouldRun(words[1])) {
                        runHandler.onBegin(words[1], words[2], body);
                    }
                    continue;
                }
                case "answer" ->
                        complete(
                                words[1],
                                "after " + connection.readBytes(Integer.parseInt(words[2])));
                default -> {} // an interrupt is only passed to the listener
            }
            commandListener.accept(line);
        }
    }

    private synchronized boolean shouldRun(String rid) {
        return begunRuns.add(rid) || !resendsNotices;
    }

    private synchronized void greet(FakeConnection connection, long lastRead) throws IOException {
        if (isStarting) {
            waitingLink = connection;
            waitingLinkLastRead = lastRead;
            return;
        }
        processorLink = connection;
        connection.send(greeting);
        if (!resendsNotices) {
            return;
        }
        long droppedCount = noticeCount - notices.size();
        for (int i = 0; i < notices.size(); i++) {
            if (droppedCount + i + 1 > lastRead) {
                connection.send(notices.get(i));
            }
        }
    }

    /** Ends the start of the processor: it greets the waiting link, if any, and all later ones. */
    public synchronized void finishStarting() throws IOException {
        isStarting = false;
        if (waitingLink != null) {
            greet(waitingLink, waitingLinkLastRead);
        }
        waitingLink = null;
    }

    private void followBody(String rid, String operation, String body) throws IOException {
        if (body.equals("good")) {
            complete(rid, "result of " + rid);
        }
        if (body.equals("bad")) {
            sendNotice("complete", rid + " error 5 0\r\n\r\n");
        }
        if (body.startsWith("call ")) {
            sendNotice("ask", rid + " " + body.length() + "\r\n" + body + "\r\n");
        }
    }

    /**
     * Sends the next notice over the latest link. If notices are resent, one that cannot be sent is
     * kept for the next link.
     */
    public synchronized void sendNotice(String verb, String rest) throws IOException {
        String text = verb + " " + ++noticeCount + " " + rest;
        if (resendsNotices) {
            notices.add(text);
            if (notices.size() > MAX_RESENT_NOTICES) {
                notices.remove(0);
            }
            try {
                processorLink.send(text);
            } catch (IOException e) {
                // it is resent over the next link
            }
        } else {
            processorLink.send(text);
        }
    }

    /** Sends the notice that a run has completed with this result. */
    public void complete(String rid, String result) throws IOException {
        sendNotice("complete", rid + " complete 5 " + result.length() + "\r\n" + result + "\r\n");
    }

    /** Makes the processor forget all runs and notices, as a restart does. */
    public synchronized void restartProcessor() {
        notices.clear();
        begunRuns.clear();
        noticeCount = 0;
        greeting = "hi hot 0\r\n";
    }

    /** Stops accepting connections to the records service; open ones stay open. */
    public void closeRecordsService() throws IOException {
        records.close();
    }

    /** Opens the records service on a port, after {@link #closeRecordsService}. */
    public void openRecordsService(int port) throws IOException {
        ServerSocket recordsSocket = records = listen(port);
        DaemonThreads.start(
                () -> {
                    while (true) {
                        FakeConnection connection = new FakeConnection(recordsSocket.accept());
                        DaemonThreads.start(() -> serveRecords(connection));
                    }
                });
    }

    private void serveRecords(FakeConnection connection) throws IOException {
        connection.disableReadTimeout();
        recordsConnection = connection;
        for (String line = connection.readLine(); line != null; line = connection.readLine()) {
            commandListener.accept(line);
            String[] words = line.split(" ");
            if (!words[0].equals("OP")) {
                continue;
            }
            String body = connection.readBytes(Integer.parseInt(words[3]));
            String outcome = body.startsWith("call ") ? body.substring("call ".length()) : "DONE";
            if (outcome.equals("DONE")) {
                connection.send(words[1] + " DONE 5\r\nreply\r\n");
            } else if (outcome.equals("cut")) {
                connection.reset();
            } else if (!outcome.equals("silence")) {
                connection.send(words[1] + " " + outcome + "\r\n");
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
