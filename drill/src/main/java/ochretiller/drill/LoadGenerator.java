package ochretiller.drill;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;

/**
 * Sends reads and keyed orders to all servers at random times, repeats some of the orders and
 * records one outcome for each request.
 */
final class LoadGenerator {
    /** One in this many requests is a keyed order; every second order is sent twice. */
    private static final int ORDER_INTERVAL = 4;

    /** Number of latest tokens from which repeats are drawn: those of the last few seconds. */
    private static final int MAX_RECENT_TOKENS = 150;

    /** Open requests on one connection, below the server's limit. */
    private static final int MAX_OPEN_REQUESTS = 24;

    private final History history;
    private final List<ServerProcess> servers;
    private final double perSecond;

    /** Whether all requests are keyed and repeats go to any server, as replication allows. */
    private final boolean repeatsAnywhere;

    private final SplittableRandom random;
    private final AtomicLong lastNumber = new AtomicLong();
    private final Map<Integer, Connection> connections = new ConcurrentHashMap<>();
    private final List<String> tokens = new ArrayList<>();

    /** All open connections, including retired ones, which get no new requests. */
    private final Set<Connection> allConnections = ConcurrentHashMap.newKeySet();

    private final Thread sender = new Thread(this::sendRequests, "load");
    private volatile boolean stopped;

    LoadGenerator(
            History history,
            List<ServerProcess> servers,
            double perSecond,
            long seed,
            boolean repeatsAnywhere) {
        this.repeatsAnywhere = repeatsAnywhere;
        this.history = history;
        this.servers = servers;
        this.perSecond = perSecond;
        this.random = new SplittableRandom(seed);
    }

    void start() {
        if (perSecond <= 0) {
            return;
        }
        sender.setDaemon(true);
        sender.start();
    }

    private void sendRequests() {
        long nextNanos = System.nanoTime();
        while (!stopped) {
            nextNanos += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
            for (long waitNanos = nextNanos - System.nanoTime();
                    waitNanos > 0 && !stopped;
                    waitNanos = nextNanos - System.nanoTime()) {
                LockSupport.parkNanos(waitNanos);
            }
            if (!stopped) {
                sendRequest();
            }
        }
    }

    private void sendRequest() {
        List<ServerProcess> available = new ArrayList<>();
        for (ServerProcess server : servers) {
            if (server.ready && !server.paused && !server.leaving) {
                available.add(server);
            }
        }
        if (available.isEmpty()) {
            return;
        }
        ServerProcess server = available.get(random.nextInt(available.size()));
        long number = lastNumber.incrementAndGet();
        try {
            Connection connection = connectionTo(server);
            boolean keyed = number % ORDER_INTERVAL == 0 || repeatsAnywhere;
            String token = keyed ? String.format("%032x", number) : null;
            connection.send(server.slot.number(), number, token);
            if (repeatsAnywhere && !tokens.isEmpty() && random.nextInt(2) == 0) {
                // Repeats the order just sent, or three times out of four any recent one.
                String repeat =
                        random.nextInt(4) == 0 ? token : tokens.get(random.nextInt(tokens.size()));
                ServerProcess other = available.get(random.nextInt(available.size()));
                connectionTo(other).send(other.slot.number(), lastNumber.incrementAndGet(), repeat);
            } else if (!repeatsAnywhere && keyed && number % (2 * ORDER_INTERVAL) == 0) {
                connection.send(
                        server.slot.number(),
                        lastNumber.addAndGet(2L * ORDER_INTERVAL) - 2 * ORDER_INTERVAL + 1,
                        token);
            }
            if (token != null) {
                if (tokens.size() == MAX_RECENT_TOKENS) {
                    tokens.remove(0);
                }
                tokens.add(token);
            }
        } catch (IOException e) {
            // the server no longer listens: no request was sent
        }
    }

    private Connection connectionTo(ServerProcess server) throws IOException {
        Connection connection = connections.get(server.slot.number());
        if (connection == null
                || connection.disconnected
                || connection.openRequests.size() >= MAX_OPEN_REQUESTS) {
            if (connection != null && !connection.disconnected) {
                connection.retired = true;
            }
            connection = new Connection(server.clientPort);
            connections.put(server.slot.number(), connection);
        }
        return connection;
    }

    /** Stops sending, waits at most 5 s for open requests and closes all connections. */
    void stop() throws InterruptedException {
        stopped = true;
        // A request that is being sent now could otherwise miss the wait below and have its
        // connection closed before the answer.
        sender.join();
        for (int i = 0;
                i < 500
                        && allConnections.stream()
                                .anyMatch(connection -> !connection.openRequests.isEmpty());
                i++) {
            Thread.sleep(10);
        }
        for (Connection connection : allConnections) {
            connection.close();
        }
    }

    /** A connection and its open requests, as slots by request number. */
    private final class Connection {
        private final FakeConnection transport;
        private final Map<Long, Integer> openRequests = new ConcurrentHashMap<>();
        private volatile boolean disconnected;
        private volatile boolean retired;
        private volatile boolean closed;

        Connection(int port) throws IOException {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            transport = new FakeConnection(socket);
            allConnections.add(this);
            DaemonThreads.start(this::readAnswers);
        }

        void send(int slot, long number, String token) throws IOException {
            String id = "r" + number;
            String body = token == null ? id : "order " + token;
            openRequests.put(number, slot);
            history.add(History.EventType.ASKED, slot, id, body);
            try {
                transport.send(
                        GatewayMessages.message(
                                number,
                                token == null ? "read" : "order",
                                GatewayMessages.params(
                                        String.format("%016x", number), token, body)));
            } catch (IOException e) {
                complete(number, "broken");
            }
            // The reader may have completed all open requests just before this one was added.
            if (disconnected) {
                complete(number, "broken");
            }
        }

        private void complete(long number, String outcome) {
            Integer slot = openRequests.remove(number);
            if (slot != null) {
                history.add(History.EventType.ANSWERED, slot, "r" + number, outcome);
            }
        }

        private void readAnswers() {
            try {
                for (String line = transport.readLine();
                        line != null;
                        line = transport.readLine()) {
                    int idAt = line.indexOf("\"id\":");
                    if (idAt < 0) {
                        continue;
                    }
                    long number = Long.parseLong(line.substring(idAt + 5, line.indexOf(',', idAt)));
                    String outcome =
                            line.contains("\"result\"")
                                    ? "succeeded"
                                    : line.contains("-32014") ? "throttled" : "errored";
                    complete(
                            number,
                            outcome.equals("succeeded") ? outcome + ' ' + result(line) : outcome);
                    if (retired && openRequests.isEmpty()) {
                        break;
                    }
                }
            } catch (IOException e) {
                // the server was killed, or sent nothing until the read timed out
            }
            disconnected = true;
            // Requests that are still open when the load ends had no answer; those on a broken
            // connection are lost with it.
            for (long number : List.copyOf(openRequests.keySet())) {
                complete(number, closed ? "none" : "broken");
            }
            allConnections.remove(this);
            try {
                transport.close();
            } catch (IOException e) {
                // already closed
            }
        }

        /** Returns the Base64 data of a result, by which results are compared. */
        private String result(String line) {
            int dataAt = line.indexOf("\"data\":\"");
            return dataAt < 0 ? "" : line.substring(dataAt + 8, line.indexOf('"', dataAt + 8));
        }

        void close() {
            closed = true;
            try {
                transport.close();
            } catch (IOException e) {
                // already closed
            }
        }
    }
}
