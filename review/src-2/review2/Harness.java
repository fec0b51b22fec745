package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What all cases share: the record, free ports, the server as a process of its own, the verdict. */
final class Harness {
    static final String HOST = "127.0.0.1";
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;
    /** Whether the disruption is played; TROUBLE=0 leaves it out. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START = System.nanoTime();
    private static final int LIMIT_S = 115;
    private static final Path ROOT = Path.of("").toAbsolutePath();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static PrintWriter record;
    private static Path folder;
    /** All requests that were written, by request id. */
    static final Map<String, Request> REQUESTS = new ConcurrentHashMap<>();

    private Harness() {}

    /** A scenario; returns the verdict. */
    interface Scenario {
        int play() throws Exception;
    }

    /** One try of a request, as the gateway that wrote it sees it. */
    static final class Request {
        final String rid = hex(16);
        final String operation;
        final String token;
        final String body;
        volatile long writtenAt;
        volatile long t0;
        volatile String answer;
        volatile long answeredAt;
        volatile boolean givenUp;
        /** Who sent it, for the record. */
        volatile String label = "";

        Request(String operation, String token, String body) {
            this.operation = operation;
            this.token = token;
            this.body = body;
            REQUESTS.put(rid, this);
        }

        boolean isOver() {
            return answer != null || givenUp;
        }
    }

    static String hex(int digits) {
        StringBuilder out = new StringBuilder();
        while (out.length() < digits) {
            out.append(Character.forDigit(ThreadLocalRandom.current().nextInt(16), 16));
        }
        return out.toString();
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void record(String line) {
        record.printf("%7d ms  %s%n", millis(), line);
        record.flush();
    }

    static void sleepUntil(long at) throws InterruptedException {
        long left = at - millis();
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    static Path folder() {
        return folder;
    }

    static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    /** Plays a scenario and ends this process with its verdict; always ends all processes. */
    static void main(String recordFile, Scenario scenario) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
        folder = Files.createTempDirectory("review2-");
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> record("stand-in failed: " + e));
        daemon(
                () -> {
                    try {
                        TimeUnit.SECONDS.sleep(LIMIT_S);
                    } catch (InterruptedException e) {
                        return;
                    }
                    record("the case took too long");
                    end(NOT_RUN);
                });
        Runtime.getRuntime().addShutdownHook(new Thread(Harness::endProcesses));
        record("disruption " + (TROUBLE ? "on" : "off"));
        int verdict;
        try {
            verdict = scenario.play();
        } catch (Exception e) {
            record("the case could not run: " + e);
            e.printStackTrace();
            verdict = NOT_RUN;
        }
        end(verdict);
    }

    private static void end(int verdict) {
        record("verdict " + verdict);
        endProcesses();
        Runtime.getRuntime().halt(verdict);
    }

    private static synchronized void endProcesses() {
        for (Process process : PROCESSES) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        for (Process process : PROCESSES) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        PROCESSES.clear();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | RuntimeException e) {
            // the folder is temporary
        }
    }

    static Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        PROCESSES.add(process);
        return process;
    }

    static void signal(String name, Process process) throws Exception {
        int code = new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
        record("SIG" + name + " to process " + process.pid() + ", kill says " + code);
    }

    /** The value of a key in the deploy file. */
    private static String deployCommand(String key) throws IOException {
        Matcher matcher =
                Pattern.compile("(?m)^" + key + " = \"([^\"]*)\"")
                        .matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("no " + key + " in the deploy file");
        }
        return matcher.group(1);
    }

    /** Starts one server by `run` of the deploy file and waits until it listens. */
    static Process startServer(String name, int port, String config, String operator)
            throws Exception {
        Path configFile = folder.resolve(name + ".json");
        Files.writeString(configFile, config);
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", deployCommand("run"))
                        .directory(ROOT.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("EDGE_LISTEN", HOST + ":" + port);
        builder.environment().put("EDGE_CONFIG", configFile.toString());
        builder.environment().remove("OPERATOR_FILE");
        if (operator != null) {
            Path operatorFile = folder.resolve(name + ".json5");
            Files.writeString(operatorFile, operator);
            builder.environment().put("OPERATOR_FILE", operatorFile.toString());
        }
        Process process = start(builder);
        long until = millis() + 30_000;
        while (millis() < until && process.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(HOST, port), 200);
                record("server " + name + " listens, process " + process.pid());
                return process;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        recordLog(name);
        throw new IOException("the server does not listen");
    }

    /** Copies the server's log into the record. */
    static void recordLog(String name) throws IOException {
        record("log of " + name + ":");
        for (String line : Files.readAllLines(folder.resolve(name + ".log"))) {
            record("    " + line);
        }
    }

    /** Takes reports to the roster and drops them. */
    static int startRoster() throws IOException {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(HOST));
        daemon(
                () -> {
                    byte[] bytes = new byte[200];
                    while (true) {
                        try {
                            socket.receive(new java.net.DatagramPacket(bytes, bytes.length));
                        } catch (IOException e) {
                            return;
                        }
                    }
                });
        return socket.getLocalPort();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
