package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Bad clients send hundreds of requests at once, and again when they are cut off, beside the usual
 * gateways with their usual traffic.
 */
final class RudeClients {
    private static final int GATEWAYS = 4;
    private static final int CLIENTS = 60;
    private static final int REQUESTS_AT_ONCE = 300;
    private static final int LENGTH_MS = 20_000;
    private static final int GROUP = 5;
    private static final int DUE_MS = 5_800;
    private static final int SLACK_MS = 150;
    /** A request that crosses the end of a connection within this time is sent once more. */
    private static final int CROSSING_MS = 50;
    private static final double ALLOWED_SHARE = 0.003;
    private static final List<Sent> SENT = Collections.synchronizedList(new ArrayList<>());

    private RudeClients() {}

    private record Sent(Harness.Request request, Gateway connection) {
        boolean isLost() {
            long until = request.writtenAt + DUE_MS + SLACK_MS;
            return request.answer == null || request.answeredAt > until;
        }

        boolean crossesEnd() {
            return connection.endedAt >= 0 && connection.endedAt - request.writtenAt < CROSSING_MS;
        }
    }

    public static void main(String[] arguments) throws Exception {
        Harness.main(arguments[0], RudeClients::play);
    }

    private static int play() throws Exception {
        Processor processor = new Processor();
        processor.workMs = 15;
        int port = Harness.freePort();
        String config =
                Site.config(
                        "n1", port, processor.port(), 0, Harness.startRoster(), 512, 2,
                        Site.etnaOperations(), "false,false,false");
        Process server = Harness.startServer("n1", port, config, null);
        Thread.sleep(1_500);
        long start = Harness.millis();
        List<Thread> gateways = new ArrayList<>();
        for (int i = 1; i <= GATEWAYS; i++) {
            int peer = i;
            Thread thread = new Thread(() -> sendUsualTraffic(port, peer, start));
            thread.start();
            gateways.add(thread);
        }
        Harness.sleepUntil(start + 3_000);
        if (Harness.TROUBLE) {
            Harness.record(CLIENTS + " bad clients start");
            for (int i = 0; i < CLIENTS; i++) {
                Harness.daemon(() -> beRude(port, start + LENGTH_MS - 5_000));
            }
        }
        for (Thread gateway : gateways) {
            gateway.join();
        }
        Thread.sleep(DUE_MS + 500);
        Harness.record("server alive: " + server.isAlive());
        Harness.recordLog("n1");
        return judge();
    }

    /** Groups of requests on one connection; a new one when the old has ended or shall end. */
    private static void sendUsualTraffic(int port, int peer, long start) {
        Gateway connection = null;
        long pauseMs = 1_000L * GROUP * GATEWAYS / 110;
        for (int group = 0; Harness.millis() < start + LENGTH_MS; group++) {
            try {
                if (connection == null || connection.endedAt >= 0 || connection.leaving) {
                    connection = new Gateway(port, peer);
                }
                for (int i = 0; i < GROUP; i++) {
                    String label = "check " + peer + "." + group + "." + i;
                    Harness.Request request =
                            connection.send("fit-check", null, "x".repeat(2_000), label);
                    SENT.add(new Sent(request, connection));
                }
            } catch (IOException e) {
                Harness.record("gateway " + peer + " cannot write: " + e.getMessage());
                connection = null;
            }
            try {
                Harness.sleepUntil(start + pauseMs * (group + 1) + peer * pauseMs / GATEWAYS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends hundreds of requests at once and reads what comes, again and again. */
    private static void beRude(int port, long until) {
        while (Harness.millis() < until) {
            StringBuilder text = new StringBuilder();
            for (int i = 1; i <= REQUESTS_AT_ONCE; i++) {
                text.append("{\"jsonrpc\":\"2.0\",\"id\":").append(i)
                        .append(",\"method\":\"fit-check\",\"params\":{\"rid\":\"")
                        .append(Harness.hex(16)).append("\",\"t0\":")
                        .append(System.currentTimeMillis())
                        .append(",\"peer\":9,\"mem\":24.5,\"prio\":0.5,\"data\":\"")
                        .append("QUFB".repeat(80)).append("\"}}\n");
            }
            try (Socket socket = new Socket(Harness.HOST, port)) {
                Thread reader = new Thread(() -> readAll(socket));
                reader.setDaemon(true);
                reader.start();
                socket.getOutputStream().write(Harness.bytes(text.toString()));
                reader.join(3_000);
            } catch (IOException | InterruptedException e) {
                // it was cut off, and comes again
            }
        }
    }

    private static void readAll(Socket socket) {
        byte[] bytes = new byte[64 * 1024];
        try {
            InputStream in = socket.getInputStream();
            while (in.read(bytes) >= 0) {
                // whatever is sent is read
            }
        } catch (IOException e) {
            // the end
        }
    }

    private static int judge() {
        int lost = 0;
        int crossed = 0;
        for (Sent sent : SENT) {
            if (sent.isLost() && sent.crossesEnd()) {
                crossed++;
            } else if (sent.isLost()) {
                lost++;
                Harness.record("LOST: " + sent.request().label + ", written "
                        + sent.request().writtenAt + ", connection ended "
                        + sent.connection().endedAt);
            }
        }
        double allowed = SENT.size() * ALLOWED_SHARE;
        Harness.record(SENT.size() + " usual requests, " + lost + " lost, " + crossed
                + " that crossed the end of a connection left out, " + allowed + " allowed");
        return lost > allowed ? Harness.BROKEN : Harness.HELD;
    }
}
