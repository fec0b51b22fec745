package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The uwsgi workers of one server hang (stopped and continued by signals) while a return is asked
 * for; its gateway waits briefly and tries often.
 */
final class HungWorkers {
    private static final int WORK_MS = 60;
    private static final int HANG_MS = 6_000;
    private static final List<String> RUNS = Collections.synchronizedList(new ArrayList<>());

    private HungWorkers() {}

    public static void main(String[] arguments) throws Exception {
        Harness.main(arguments[0], HungWorkers::play);
    }

    private static int play() throws Exception {
        int[] ports = {Harness.freePort(), Harness.freePort()};
        List<Process> workers = new ArrayList<>();
        for (int port : ports) {
            workers.add(startWorker(port));
        }
        Processor processor = new Processor();
        int port = Harness.freePort();
        String operations =
                Site.operation("codici-guasto", "pure", 1700, 4600, 1, "0", 5000) + ","
                        + Site.operation("copertura", "pure", 1400, 4600, 2, "0.2", 5000) + ","
                        + Site.operation("apri-reso", "token", 690, 1700, 5, "0", 10000);
        String config =
                Site.config(
                        "n1", port, processor.port(), 0, Harness.startRoster(), 512, 2, operations,
                        "false,false,false");
        String operator =
                "{ pools: { returns: { workers: ['127.0.0.1:" + ports[0] + "', '127.0.0.1:"
                        + ports[1] + "'], runs: [ { operation: 'apri-reso', path: '/returns' },"
                        + " { operation: 'copertura', path: '/cover' } ] } } }";
        Harness.startServer("n1", port, config, operator);
        Thread.sleep(1_500);
        Gateway first = new Gateway(port, 1);
        for (int i = 0; i < 3; i++) {
            first.send("copertura", null, "cover " + i, "warm-up " + i);
            Thread.sleep(200);
        }

        long start = Harness.millis();
        if (Harness.TROUBLE) {
            for (Process worker : workers) {
                Harness.signal("STOP", worker);
            }
        }
        long asked = start + HANG_MS - 1_750;
        Harness.sleepUntil(asked - 500);
        Gateway second = new Gateway(port, 2);
        for (int i = 0; i < 4; i++) {
            Harness.sleepUntil(asked - 400 + i * 10);
            second.send("copertura", null, "cover " + i, "cover " + i);
        }
        String token = Harness.hex(32);
        first = new Gateway(port, 1);
        int[] sentAt = {0, 350, 1_000, 1_300};
        List<Harness.Request> tries = new ArrayList<>();
        for (int i = 0; i < sentAt.length; i++) {
            Harness.sleepUntil(asked + sentAt[i]);
            if (tries.stream().allMatch(earlier -> earlier.answer == null)) {
                tries.add(
                        first.send(
                                "apri-reso", token, "one return", "return, try " + (i + 1)));
            }
        }
        Harness.sleepUntil(start + HANG_MS);
        if (Harness.TROUBLE) {
            for (Process worker : workers) {
                Harness.signal("CONT", worker);
            }
        }
        Thread.sleep(4_000);
        Harness.recordLog("n1");
        return judge(token);
    }

    private static Process startWorker(int port) throws IOException {
        Process process =
                Harness.start(
                        new ProcessBuilder(
                                        "java", "-Xmx32m", "-cp",
                                        System.getProperty("java.class.path"), "review2.Worker",
                                        "" + port, "" + WORK_MS)
                                .redirectErrorStream(true));
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream()));
        if (!"ready".equals(lines.readLine())) {
            throw new IOException("a worker does not start");
        }
        Harness.daemon(
                () -> {
                    try {
                        for (String line = lines.readLine();
                                line != null;
                                line = lines.readLine()) {
                            RUNS.add(line);
                            Harness.record("worker " + port + " " + line);
                        }
                    } catch (IOException e) {
                        // the worker ended
                    }
                });
        return process;
    }

    private static int judge(String token) {
        long runs = RUNS.stream().filter(run -> run.contains("key=" + token)).count();
        Harness.record("the return was run " + runs + " times");
        return runs > 1 ? Harness.BROKEN : Harness.HELD;
    }
}
