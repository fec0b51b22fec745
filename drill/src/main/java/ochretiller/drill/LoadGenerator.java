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
 * Callers of all servers together: reads and orders, some of the orders asked again, each end noted
 * once.
 */
final class LoadGenerator {
    /** Every so many is a keyed order; every other order is asked twice. */
    private static final int ORDERS = 4;

    /** Tokens that repeats are drawn from: those of the last seconds. */
    private static final int LATELY = 150;

    /** Requests open on one connection, fewer than a server lets be. */
    private static final int OPEN = 24;

    private final History history;
    private final List<ServerProcess> boxes;
    private final double perSecond;

    /** Whether repeats go to any server, as in a fleet that keeps copies. */
    private final boolean elsewhere;

    private final SplittableRandom chance;
    private final AtomicLong numbers = new AtomicLong();
    private final Map<Integer, Line> lines = new ConcurrentHashMap<>();
    private final List<String> asked = new ArrayList<>();

    /** All that are not gone, those too on which nothing more is asked. */
    private final Set<Line> all = ConcurrentHashMap.newKeySet();

    private final Thread asking = new Thread(this::askOn, "load");
    private volatile boolean over;

    LoadGenerator(
            History history,
            List<ServerProcess> boxes,
            double perSecond,
            long seed,
            boolean elsewhere) {
        this.elsewhere = elsewhere;
        this.history = history;
        this.boxes = boxes;
        this.perSecond = perSecond;
        this.chance = new SplittableRandom(seed);
    }

    void start() {
        if (perSecond <= 0) {
            return;
        }
        asking.setDaemon(true);
        asking.start();
    }

    private void askOn() {
        long next = System.nanoTime();
        while (!over) {
            next += (long) (-Math.log(1 - chance.nextDouble()) / perSecond * 1e9);
            for (long wait = next - System.nanoTime();
                    wait > 0 && !over;
                    wait = next - System.nanoTime()) {
                LockSupport.parkNanos(wait);
            }
            if (!over) {
                ask();
            }
        }
    }

    private void ask() {
        List<ServerProcess> open = new ArrayList<>();
        for (ServerProcess box : boxes) {
            if (box.up && !box.paused && !box.leaves) {
                open.add(box);
            }
        }
        if (open.isEmpty()) {
            return;
        }
        ServerProcess box = open.get(chance.nextInt(open.size()));
        long number = numbers.incrementAndGet();
        try {
            Line line = line(box);
            boolean order = number % ORDERS == 0 || elsewhere;
            String token = order ? String.format("%032x", number) : null;
            line.send(box.slot.number(), number, token);
            if (elsewhere && !asked.isEmpty() && chance.nextInt(2) == 0) {
                // A repeat of what was asked anywhere in the last seconds, some of them in the same
                // moment.
                String repeat =
                        chance.nextInt(4) == 0 ? token : asked.get(chance.nextInt(asked.size()));
                ServerProcess other = open.get(chance.nextInt(open.size()));
                line(other).send(other.slot.number(), numbers.incrementAndGet(), repeat);
            } else if (!elsewhere && order && number % (2 * ORDERS) == 0) {
                line.send(
                        box.slot.number(), numbers.addAndGet(2L * ORDERS) - 2 * ORDERS + 1, token);
            }
            if (token != null) {
                if (asked.size() == LATELY) {
                    asked.remove(0);
                }
                asked.add(token);
            }
        } catch (IOException e) {
            // nobody listens there any more: no request was sent
        }
    }

    private Line line(ServerProcess box) throws IOException {
        Line line = lines.get(box.slot.number());
        if (line == null || line.gone || line.open.size() >= OPEN) {
            if (line != null && !line.gone) {
                line.retired = true;
            }
            line = new Line(box.serves);
            lines.put(box.slot.number(), line);
        }
        return line;
    }

    /** No more is asked; what is open gets its end. */
    void end() throws InterruptedException {
        over = true;
        // What is asked in this very moment would else come behind the look at what is open, and
        // its connection be closed upon it.
        asking.join();
        for (int i = 0; i < 500 && all.stream().anyMatch(line -> !line.open.isEmpty()); i++) {
            Thread.sleep(10);
        }
        for (Line line : all) {
            line.close();
        }
    }

    /** One connection and what is open on it. */
    private final class Line {
        private final FakeConnection wire;
        private final Map<Long, Integer> open = new ConcurrentHashMap<>();
        private volatile boolean gone;
        private volatile boolean retired;
        private volatile boolean closed;

        Line(int port) throws IOException {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            wire = new FakeConnection(socket);
            all.add(this);
            DaemonThreads.start(this::read);
        }

        void send(int slot, long number, String token) throws IOException {
            String id = "r" + number;
            String body = token == null ? id : "order " + token;
            open.put(number, slot);
            history.add(History.What.ASKED, slot, id, body);
            try {
                wire.send(
                        GatewayMessages.message(
                                number,
                                token == null ? "read" : "order",
                                GatewayMessages.params(
                                        String.format("%016x", number), token, body)));
            } catch (IOException e) {
                end(number, "broken");
            }
            // Its reader may have ended all that was open just before this was: then nobody else
            // does.
            if (gone) {
                end(number, "broken");
            }
        }

        private void end(long number, String how) {
            Integer slot = open.remove(number);
            if (slot != null) {
                history.add(History.What.ANSWERED, slot, "r" + number, how);
            }
        }

        private void read() {
            try {
                for (String line = wire.line(); line != null; line = wire.line()) {
                    int at = line.indexOf("\"id\":");
                    if (at < 0) {
                        continue;
                    }
                    long number = Long.parseLong(line.substring(at + 5, line.indexOf(',', at)));
                    String how =
                            line.contains("\"result\"")
                                    ? "succeeded"
                                    : line.contains("-32014") ? "throttled" : "errored";
                    end(number, how.equals("succeeded") ? how + ' ' + result(line) : how);
                    if (retired && open.isEmpty()) {
                        break;
                    }
                }
            } catch (IOException e) {
                // the server was killed, or said nothing for long
            }
            gone = true;
            // What is left when the callers end had its time and no answer; a connection that
            // breaks ends what was on it.
            for (long number : List.copyOf(open.keySet())) {
                end(number, closed ? "none" : "broken");
            }
            all.remove(this);
            try {
                wire.close();
            } catch (IOException e) {
                // it is gone anyway
            }
        }

        /** What tells results apart: the data that the server gave. */
        private String result(String line) {
            int at = line.indexOf("\"data\":\"");
            return at < 0 ? "" : line.substring(at + 8, line.indexOf('"', at + 8));
        }

        void close() {
            closed = true;
            try {
                wire.close();
            } catch (IOException e) {
                // it is gone anyway
            }
        }
    }
}
