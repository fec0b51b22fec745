package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** Bad clients send hundreds of small requests at once, and again when they are cut off. */
final class FloodCrash {
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final int CLIENTS = 600;
    private static final int REQUESTS_AT_ONCE = 400;
    private static final int LENGTH_MS = 30_000;

    private FloodCrash() {}

    public static void main(String[] arguments) throws Exception {
        Harness.main(arguments[0], FloodCrash::play);
    }

    private static int play() throws Exception {
        Processor processor = new Processor();
        processor.workMs = 20;
        int port = Harness.freePort();
        String config =
                Site.config(
                                "n1", port, processor.port(), 0, Harness.startRoster(), SOCKETS,
                                2, Site.etnaOperations(), "false,false,false")
                        .replace("\"memory_mb\":192", "\"memory_mb\":" + MEMORY_MB);
        Process server = Harness.startServer("n1", port, config, null);
        Thread.sleep(1_500);
        long start = Harness.millis();
        if (Harness.TROUBLE) {
            Harness.record(CLIENTS + " bad clients start");
            for (int i = 0; i < CLIENTS; i++) {
                Harness.daemon(() -> beRude(port, server, start + LENGTH_MS));
            }
        }
        Gateway gateway = null;
        for (int i = 0; server.isAlive() && Harness.millis() < start + LENGTH_MS + 3_000; i++) {
            try {
                if (gateway == null || gateway.endedAt >= 0 || gateway.leaving) {
                    gateway = new Gateway(port, 1);
                }
                gateway.send("fit-check", null, "check " + i, "check " + i);
            } catch (IOException e) {
                Harness.record("the gateway cannot write: " + e.getMessage());
                gateway = null;
            }
            server.waitFor(100, TimeUnit.MILLISECONDS);
        }
        Harness.recordLog("n1");
        if (server.isAlive()) {
            Harness.record("the server runs");
            return Harness.HELD;
        }
        Harness.record("CRASHED: the server ended by itself with code " + server.exitValue());
        return Harness.BROKEN;
    }

    private static void beRude(int port, Process server, long until) {
        while (server.isAlive() && Harness.millis() < until) {
            StringBuilder text = new StringBuilder();
            for (int i = 1; i <= REQUESTS_AT_ONCE; i++) {
                text.append("{\"jsonrpc\":\"2.0\",\"id\":").append(i)
                        .append(",\"method\":\"fit-check\",\"params\":{\"rid\":\"")
                        .append(Harness.hex(16)).append("\",\"t0\":")
                        .append(System.currentTimeMillis())
                        .append(",\"peer\":9,\"mem\":1.5,\"prio\":0.5,\"data\":\"\"}}\n");
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
}
