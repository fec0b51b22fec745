package ochretiller;

import static ochretiller.Deployment.await;
import static ochretiller.fakes.GatewayMessages.message;
import static ochretiller.fakes.GatewayMessages.params;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.FakeWorker;
import ochretiller.fakes.FakeWorker.ResponseMode;
import ochretiller.uwsgi.UwsgiRequest;
import ochretiller.uwsgi.UwsgiResponse;
import ochretiller.uwsgi.UwsgiResponseDecoder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The packaged program whose operations run on scripted uwsgi workers: failures of workers, and the
 * answers that clients of both frontends get.
 */
class WorkersIT {
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    @TempDir private Path folder;
    private final List<FakeWorker> workers = new ArrayList<>();
    private Deployment deployment;
    private int port;
    private int lastRid;

    @BeforeEach
    void start() throws Exception {
        port = Deployment.freePort();
        for (int i = 0; i < 4; i++) {
            workers.add(new FakeWorker("127.0.0.1", 0, request -> ResponseMode.ANSWERS));
        }
        deployment = new Deployment(writeOperatorFile(List.of(0, 1, 2)), newDeployment -> {});
        await(deployment.received, "usage fence");
    }

    private Path writeOperatorFile(List<Integer> indices) throws IOException {
        String addresses =
                indices.stream()
                        .map(i -> "'127.0.0.1:" + workers.get(i).port() + "'")
                        .collect(Collectors.joining(", "));
        return Files.writeString(
                folder.resolve("operator.json5"),
                "{ uwsgi: { listen: '127.0.0.1:"
                        + port
                        + "', routes: [{ path: '/parts/{id}', operation: 'read' }, { method:"
                        + " 'POST', path: '/orders', operation: 'order' } ] },metrics: { file: '"
                        + folder.resolve("figures")
                        + "', every_ms: 100 }, pools: { shop: { workers: ["
                        + addresses
                        + "],most_in_flight: 16, left_out_ms: 300, most_left_out_ms: 600,"
                        + " slow_start_ms: 0, late_ms: 1500, runs: [{ operation: 'read', method:"
                        + " 'GET', path: '/lookup' }, { operation: 'order', path: '/order' } ] } }"
                        + " }");
    }

    @AfterEach
    void stop() throws Exception {
        deployment.close();
        Map<String, Integer> runs = new HashMap<>();
        for (FakeWorker worker : workers) {
            worker.close();
            for (FakeWorker.ReceivedRequest request : worker.requests()) {
                if (request.vars().get("PATH_INFO").equals("/order")) {
                    runs.merge(request.body(), 1, Integer::sum);
                }
            }
        }
        assertThat(runs.values()).as("runs of each order").allMatch(count -> count == 1);
    }

    private void scriptAll(FakeWorker.Script script) {
        workers.forEach(worker -> worker.script = script);
    }

    private int runCount() {
        return workers.stream().mapToInt(worker -> worker.requests().size()).sum();
    }

    private UwsgiResponse exchange(String method, String path, String key, String body)
            throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            Map<String, String> vars =
                    new LinkedHashMap<>(
                            Map.of(
                                    "REQUEST_METHOD",
                                    method,
                                    "PATH_INFO",
                                    path,
                                    "CONTENT_LENGTH",
                                    "" + body.length(),
                                    "REMOTE_ADDR",
                                    "10.1.2.3"));
            if (key != null) {
                vars.put("HTTP_IDEMPOTENCY_KEY", key);
            }
            byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
            for (byte[] part : new UwsgiRequest(vars, bytes, false).encode()) {
                socket.getOutputStream().write(part);
            }
            UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(8_192);
            byte[] buffer = new byte[4_096];
            for (int length = socket.getInputStream().read(buffer);
                    length > 0;
                    length = socket.getInputStream().read(buffer)) {
                UwsgiResponse response = decoder.decode(buffer, 0, length);
                if (response != null) {
                    return response;
                }
            }
            return decoder.finish();
        }
    }

    private UwsgiResponse read(String body) throws IOException {
        return exchange("GET", "/parts/7", null, body);
    }

    private UwsgiResponse order(String key, String body) throws IOException {
        return exchange("POST", "/orders", key, body);
    }

    /** Sends reads from several threads and returns the number of answers by status. */
    private Map<Integer, Integer> sendReads(int count, int threads) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(threads);
        try {
            List<Callable<Integer>> calls =
                    IntStream.range(0, count)
                            .<Callable<Integer>>mapToObj(i -> () -> read("r" + i).status())
                            .toList();
            Map<Integer, Integer> statuses = new HashMap<>();
            for (Future<Integer> each : executor.invokeAll(calls)) {
                statuses.merge(each.get(), 1, Integer::sum);
            }
            return statuses;
        } finally {
            executor.shutdownNow();
        }
    }

    private static void expect(UwsgiResponse answer, int status, String body) {
        assertThat(answer).isNotNull();
        assertThat(new String(answer.body(), StandardCharsets.ISO_8859_1).trim()).isEqualTo(body);
        assertThat(answer.status()).isEqualTo(status);
    }

    private double metric(String name) throws Exception {
        Thread.sleep(250); // the metrics file is written ten times per second
        return Files.readAllLines(folder.resolve("figures")).stream()
                .filter(line -> line.contains(name) && !line.startsWith("#"))
                .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                .sum();
    }

    @Test
    void bothFrontendsRunOnWorkersAndShareKeys() throws Exception {
        expect(read("one"), 200, "result of one");
        expect(order("5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "two"), 200, "result of two");
        try (FakeConnection gateway = deployment.connect()) {
            gateway.send(
                    message(
                            1,
                            "order",
                            params("0000000000000001", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "two")));
            assertThat(gateway.readLine())
                    .contains("\"id\":1")
                    .contains(ochretiller.fakes.GatewayMessages.base64("result of two"));
        }
        FakeWorker.ReceivedRequest request =
                workers.stream()
                        .flatMap(w -> w.requests().stream())
                        .filter(r -> r.body().equals("two"))
                        .findFirst()
                        .orElseThrow();
        assertThat(request.vars())
                .containsEntry("PATH_INFO", "/order")
                .containsEntry("REQUEST_METHOD", "POST")
                .containsEntry("HTTP_IDEMPOTENCY_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
        assertThat(Integer.parseInt(request.vars().get("HTTP_X_TIME_LEFT_MS")))
                .isBetween(3_000, 4_000);
    }

    @ParameterizedTest
    @EnumSource(
            value = ResponseMode.class,
            names = {"FAILS", "HALF", "RESETS", "GARBAGE", "WRONG_LENGTH", "TOO_LONG", "ENDS"})
    void malformedAnswerIsAnErrorAndIsNotRetried(ResponseMode manner) throws Exception {
        scriptAll(request -> request.body().startsWith("bad") ? manner : ResponseMode.ANSWERS);
        expect(order("k", "bad"), 500, "failed");
        expect(order("k", "bad"), 500, "failed");
        expect(order("l", "good"), 200, "result of good");
        assertThat(runCount()).isEqualTo(2);
    }

    @Test
    void refusedConnectionsAreRetriedElsewhereWithoutErrors() throws Exception {
        workers.get(0).kill();
        workers.get(1).kill();
        Map<Integer, Integer> statusCounts = sendReads(100, 4);
        assertThat(statusCounts.keySet()).isSubsetOf(200, 503); // 503 if the retry budget was spent
        assertThat(statusCounts.get(200)).isGreaterThan(70);
        assertThat(metric("second_tries_total")).isPositive();
        Thread.sleep(400); // both are ejected by now and get only probes
        workers.get(0).restart();
        workers.get(1).restart();
        Thread.sleep(700);
        for (int i = 0; i < 3; i++) {
            sendReads(40, 8);
        }
        assertThat(workers.get(0).requests()).isNotEmpty();
        assertThat(sendReads(50, 4)).isEqualTo(Map.of(200, 50));
    }

    @Test
    void withoutWorkersClientsAreThrottledAndServedAfterRecovery() throws Exception {
        for (FakeWorker worker : workers) {
            worker.kill();
        }
        Map<Integer, Integer> statusCounts = sendReads(60, 4);
        assertThat(statusCounts).isEqualTo(Map.of(503, 60));
        UwsgiResponse throttled = order("k", "kept");
        assertThat(throttled.status()).isEqualTo(503);
        assertThat(Integer.parseInt(throttled.headers().get("retry-after"))).isPositive();
        for (FakeWorker worker : workers) {
            worker.restart();
        }
        Thread.sleep(700);
        for (int i = 0; i < 20 && read("again").status() != 200; i++) {
            Thread.sleep(50);
        }
        expect(order("k", "kept"), 200, "result of kept"); // a throttled order may be retried
    }

    @Test
    void orderOnASilentWorkerFailsInTime() throws Exception {
        scriptAll(
                request ->
                        request.body().equals("silent")
                                ? ResponseMode.SILENT
                                : ResponseMode.ANSWERS);
        long startNanos = System.nanoTime();
        UwsgiResponse answer = order("k", "silent");
        assertThat((System.nanoTime() - startNanos) / 1e9).isBetween(3.0, 4.8);
        assertThat(answer.status()).isIn(409, 504);
        Thread.sleep(1_800); // until the time for a late answer has passed
        expect(order("k", "silent"), 500, "failed");
        assertThat(metric("silent_total")).isEqualTo(1);
    }

    @Test
    void lateAnswerOfAnOrderIsStoredForItsRetry() throws Exception {
        scriptAll(
                request -> {
                    if (request.body().equals("slow")) {
                        Thread.sleep(4_600);
                    }
                    return ResponseMode.ANSWERS;
                });
        assertThat(order("k", "slow").status()).isIn(409, 504);
        Thread.sleep(1_000);
        expect(order("k", "slow"), 200, "result of slow");
    }

    @Test
    void fastFailingWorkerDoesNotAttractLoad() throws Exception {
        workers.get(1).script = request -> ResponseMode.FAILS;
        for (int i : new int[] {0, 2}) {
            workers.get(i).script =
                    request -> {
                        Thread.sleep(20);
                        return ResponseMode.ANSWERS;
                    };
        }
        Map<Integer, Integer> statusCounts = sendReads(300, 4);
        assertThat(statusCounts.getOrDefault(500, 0)).isLessThan(40);
        assertThat(statusCounts.get(200)).isGreaterThan(260);
    }

    @Test
    void workersAreReplacedUnderLoadWithoutErrors() throws Exception {
        scriptAll(
                request -> {
                    Thread.sleep(5);
                    return ResponseMode.ANSWERS;
                });
        AtomicBoolean isStopped = new AtomicBoolean();
        ExecutorService executor = Executors.newFixedThreadPool(4);
        List<Future<Integer>> pending = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            pending.add(
                    executor.submit(
                            () -> {
                                int readCount = 0;
                                for (; !isStopped.get(); readCount++) {
                                    expect(read("x"), 200, "result of x");
                                }
                                return readCount;
                            }));
        }
        Thread.sleep(300);
        writeOperatorFile(List.of(2, 3));
        deployment.signal("HUP");
        await(deployment.log, "configuration reloaded");
        int countBefore = workers.get(3).requests().size();
        int countAtRemoval = workers.get(0).requests().size(); // at most four more in flight
        for (int i = 0; i < 500 && workers.get(3).requests().size() <= countBefore; i++) {
            Thread.sleep(20); // until the new worker has a request
        }
        assertThat(workers.get(3).requests().size()).isGreaterThan(countBefore);
        assertThat(workers.get(0).requests().size()).isLessThanOrEqualTo(countAtRemoval + 4);
        Files.writeString(folder.resolve("operator.json5"), "{ pools: 7 }");
        deployment.signal("HUP");
        await(deployment.log, "configuration not reloaded.*pools");
        isStopped.set(true);
        for (Future<Integer> each : pending) {
            assertThat(each.get()).isPositive();
        }
        executor.shutdown();
    }

    @Test
    void orderCompletesAfterDisconnectAndAnswersItsRetry() throws Exception {
        scriptAll(
                request -> {
                    Thread.sleep(400);
                    return ResponseMode.ANSWERS;
                });
        try (FakeConnection gateway = deployment.connect()) {
            gateway.send(
                    message(
                            1,
                            "order",
                            params(
                                    "000000000000000" + ++lastRid,
                                    "5c0f6e1a2b3d4c59a8b7c6d5e4f30212",
                                    "left")));
            for (int i = 0; i < 100 && runCount() == 0; i++) {
                Thread.sleep(10);
            }
        }
        expect(order("5c0f6e1a2b3d4c59a8b7c6d5e4f30212", "left"), 200, "result of left");
    }

    @Test
    void drainAnswersRunsOnWorkers() throws Exception {
        scriptAll(
                request -> {
                    Thread.sleep(600);
                    return ResponseMode.ANSWERS;
                });
        ExecutorService executor = Executors.newSingleThreadExecutor();
        Future<UwsgiResponse> pending = executor.submit(() -> order("k", "last"));
        for (int i = 0; i < 200 && runCount() == 0; i++) {
            Thread.sleep(10);
        }
        deployment.terminate();
        expect(pending.get(), 200, "result of last");
        assertThat(deployment.awaitExit()).isZero();
        executor.shutdown();
    }

    /**
     * The server is killed while a worker runs an order. The outcome is never reported, so a retry
     * fails over either protocol and never runs.
     */
    @Test
    void afterARestartOrdersOnWorkersAreReplayedOrFail() throws Exception {
        String file = Files.readString(folder.resolve("operator.json5"));
        Files.writeString(
                folder.resolve("operator.json5"),
                file.substring(0, file.length() - 1)
                        + ", remember: { folder: '"
                        + folder.resolve("store")
                        + "' } }");
        deployment.kill();
        deployment.restart();
        await(deployment.received, "usage fence");
        String completedKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30213";
        String interruptedKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30214";
        scriptAll(
                request ->
                        request.body().equals("cut") ? ResponseMode.SILENT : ResponseMode.ANSWERS);
        try (FakeConnection gateway = deployment.connect()) {
            gateway.send(message(1, "order", params("0000000000000011", completedKey, "kept")));
            assertThat(gateway.readLine()).contains("\"result\"");
            gateway.send(message(2, "order", params("0000000000000012", interruptedKey, "cut")));
            for (int i = 0; i < 200 && runCount() < 2; i++) {
                Thread.sleep(10);
            }
        }
        deployment.kill();
        deployment.restart();
        await(deployment.received, "usage fence");
        UwsgiResponse replayed = order(completedKey, "kept");
        expect(replayed, 200, "result of kept");
        assertThat(replayed.headers()).containsEntry("x-idempotent-replay", "true");
        expect(order(interruptedKey, "cut"), 500, "failed");
        try (FakeConnection gateway = deployment.connect()) {
            gateway.send(message(3, "order", params("0000000000000013", interruptedKey, "cut")));
            assertThat(gateway.readLine()).contains("\"error\"");
        }
        assertThat(runCount()).isEqualTo(2);
    }
}
