package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A records service as the protocol page describes it. The first call for each request is turned
 * away; later ones take some time, and have their effect when they begin.
 */
final class RecordsService implements AutoCloseable {
    private final World world;
    private final Record record;
    private final ServerSocket listener;
    private final ScheduledExecutorService timer =
            Executors.newScheduledThreadPool(2, Processor::daemon);
    private final Map<String, Integer> callsOf = new HashMap<>();
    private final Map<String, ScheduledFuture<?>> inHand = new HashMap<>();
    private final List<String> effects = new ArrayList<>();
    private final long callMillis;
    private final long secondCopyAfterMillis;

    /**
     * Starts to listen.
     *
     * @param callMillis how long a call takes
     * @param secondCopyAfterMillis when a second copy of a `WAIT` follows it; negative for never
     */
    RecordsService(World world, Record record, long callMillis, long secondCopyAfterMillis)
            throws IOException {
        this.world = world;
        this.record = record;
        this.callMillis = callMillis;
        this.secondCopyAfterMillis = secondCopyAfterMillis;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Processor.daemon(this::accept).start();
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized List<String> effects() {
        return List.copyOf(effects);
    }

    private void accept() {
        try {
            for (int number = 1; ; number++) {
                Socket next = listener.accept();
                next.setTcpNoDelay(true);
                int connection = number;
                Processor.daemon(() -> serve(next, connection)).start();
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            socket.setSoTimeout(10_000); // closed after it stands idle for 10 s
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line = Lines.read(in); line != null; line = Lines.read(in)) {
                String[] words = line.split(" ");
                if (words[0].equals("OP")) {
                    call(socket, connection, words[1], Lines.body(in, Integer.parseInt(words[3])));
                } else {
                    giveUp(words[1]);
                }
            }
        } catch (IOException e) {
            // the connection ended
        }
    }

    private synchronized void giveUp(String rid) {
        ScheduledFuture<?> call = inHand.remove(rid);
        if (call != null && call.cancel(false)) {
            record.add("records: the call of " + name(rid) + " is given up; it had its effect");
        }
    }

    private String name(String rid) {
        return world.find(rid) == null ? rid : world.find(rid).name;
    }

    private synchronized void call(Socket from, int connection, String rid, byte[] body) {
        giveUp(rid);
        int number = callsOf.merge(rid, 1, Integer::sum);
        String what = "call " + number + " of " + name(rid) + " on connection " + connection;
        if (number == 1) {
            record.add("records: " + what + ": WAIT, it never runs");
            write(from, rid + " WAIT", null);
            if (secondCopyAfterMillis >= 0) {
                timer.schedule(
                        () -> {
                            record.add("records: TROUBLE: a second copy of that WAIT");
                            write(from, rid + " WAIT", null);
                        },
                        secondCopyAfterMillis,
                        TimeUnit.MILLISECONDS);
            }
            return;
        }
        effects.add(rid);
        record.add("records: " + what + " HAS ITS EFFECT ('" + new String(body) + "')");
        inHand.put(
                rid,
                timer.schedule(
                        () -> {
                            record.add("records: DONE for " + what);
                            write(from, rid + " DONE", ("reply to call " + number).getBytes());
                        },
                        callMillis,
                        TimeUnit.MILLISECONDS));
    }

    private void write(Socket to, String line, byte[] body) {
        try {
            to.getOutputStream()
                    .write(Lines.message(body == null ? line : line + " " + body.length, body));
        } catch (IOException e) {
            // its server has gone
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        timer.shutdownNow();
    }
}
