package ochretiller;

import static ochretiller.Deployment.await;
import static ochretiller.fakes.GatewayMessages.message;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;
import ochretiller.uwsgi.UwsgiRequest;
import ochretiller.uwsgi.UwsgiResponse;
import ochretiller.uwsgi.UwsgiResponseDecoder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The packaged program with its uwsgi and JSON-RPC frontends, as their clients see it. */
class UwsgiIT {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private static final int HOSTILE_CLIENTS = 150;
    @TempDir private Path folder;
    private Deployment deployment;
    private int port;
    private int lastRid;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    @BeforeEach
    void start() throws Exception {
        port = Deployment.freePort();
        Path operator =
                Files.writeString(
                        folder.resolve("operator.json5"),
                        "{ uwsgi: { listen: '127.0.0.1:"
                                + port
                                + "', routes: [{ path: '/parts/{id}', operation: 'read' }, {"
                                + " method: 'POST', path: '/orders', operation: 'order' },{ method:"
                                + " 'POST', path: '/other/{id}', operation: 'order' } ] } }");
        deployment =
                new Deployment(
                        operator,
                        newDeployment ->
                                newDeployment.services.runHandler =
                                        (rid, operation, body) -> {
                                            if (operation.equals("order")) {
                                                runs.merge(body, 1, Integer::sum);
                                            }
                                            if (body.startsWith("done")) {
                                                newDeployment.services.complete(
                                                        rid, "result of " + body);
                                            } else if (body.startsWith("bad")) {
                                                newDeployment.services.sendNotice(
                                                        "complete", rid + " error 5 0\r\n\r\n");
                                            }
                                        });
        await(deployment.received, "usage fence");
    }

    @AfterEach
    void stop() throws Exception {
        deployment.close();
        assertThat(runs.values()).as("runs of each order").allMatch(count -> count == 1);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** One request on a connection of its own, as web servers send it. */
    private final class Call implements AutoCloseable {
        final Socket socket = new Socket("127.0.0.1", port);

        Call() throws IOException {
            socket.setSoTimeout(10_000);
        }

        Call send(String method, String path, String key, String body, String... extraVars)
                throws IOException {
            Map<String, String> vars = new LinkedHashMap<>();
            vars.put("REQUEST_METHOD", method);
            vars.put("PATH_INFO", path);
            vars.put("CONTENT_LENGTH", "" + body.length());
            vars.put("REMOTE_ADDR", "10.1.2.3");
            if (key != null) {
                vars.put("HTTP_IDEMPOTENCY_KEY", key);
            }
            for (int i = 0; i < extraVars.length; i += 2) {
                vars.put(extraVars[i], extraVars[i + 1]);
            }
            for (byte[] part : new UwsgiRequest(vars, bytes(body), false).encode()) {
                socket.getOutputStream().write(part);
            }
            return this;
        }

        /** Returns the response, or null if the connection ended before it was complete. */
        UwsgiResponse answer() throws IOException {
            UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(8_192);
            byte[] buffer = new byte[1];
            try {
                while (socket.getInputStream().read(buffer) > 0) {
                    UwsgiResponse response = decoder.decode(buffer, 0, 1);
                    if (response != null) {
                        return response;
                    }
                }
            } catch (java.net.SocketException e) {
                return null; // the connection was reset
            }
            return decoder.finish();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private UwsgiResponse exchange(
            String method, String path, String key, String body, String... extraVars)
            throws IOException {
        try (Call call = new Call()) {
            UwsgiResponse answer = call.send(method, path, key, body, extraVars).answer();
            assertThat(call.socket.getInputStream().read())
                    .as("the connection is closed after the response")
                    .isNegative();
            return answer;
        }
    }

    private UwsgiResponse order(String key, String body) throws IOException {
        return exchange("POST", "/orders", key, body);
    }

    private static void expect(UwsgiResponse answer, int status, String body) {
        assertThat(answer).isNotNull();
        assertThat(answer.status()).isEqualTo(status);
        assertThat(new String(answer.body(), StandardCharsets.ISO_8859_1).trim()).isEqualTo(body);
    }

    private String nextRid() {
        return String.format("%016x", ++lastRid);
    }

    @Test
    void readAndOrderSucceedAndRetryIsMarkedAsReplay() throws Exception {
        expect(exchange("GET", "/parts/7?x=y", null, "done read"), 200, "result of done read");
        UwsgiResponse first = order("key 1", "done one");
        expect(first, 200, "result of done one");
        assertThat(first.headers()).doesNotContainKey("x-idempotent-replay");
        UwsgiResponse replay = order("key 1", "done one");
        expect(replay, 200, "result of done one");
        assertThat(replay.headers()).containsEntry("x-idempotent-replay", "true");
    }

    @Test
    void keyIsScopedToClientAndRoute() throws Exception {
        order("key 1", "done one");
        expect(
                exchange("POST", "/orders", "key 1", "done two", "REMOTE_ADDR", "10.9.9.9"),
                200,
                "result of done two");
        expect(exchange("POST", "/other/7", "key 1", "done three"), 200, "result of done three");
        expect(order("key 1", "done other"), 422, "another request is known under this token");
        assertThat(runs).doesNotContainKey("done other");
    }

    @Test
    void retryOverTheOtherProtocolGetsTheStoredResult() throws Exception {
        expect(order(TOKEN, "done one"), 200, "result of done one");
        try (FakeConnection gateway = deployment.connect()) {
            gateway.send(message(1, "order", GatewayMessages.params(nextRid(), TOKEN, "done one")));
            assertThat(gateway.readLine()).contains(GatewayMessages.base64("result of done one"));
            String otherToken = "0".repeat(32);
            gateway.send(
                    message(2, "order", GatewayMessages.params(nextRid(), otherToken, "done two")));
            assertThat(gateway.readLine()).contains(GatewayMessages.base64("result of done two"));
            UwsgiResponse replay = order(otherToken, "done two");
            expect(replay, 200, "result of done two");
            assertThat(replay.headers()).containsEntry("x-idempotent-replay", "true");
        }
    }

    @Test
    void retryGetsTheResultAfterTheClientDisconnected() throws Exception {
        Call call = new Call().send("POST", "/orders", TOKEN, "wait");
        String beginLine = await(deployment.received, "begin .* order");
        call.socket.setSoLinger(true, 0);
        call.close();
        await(deployment.log, "connection uwsgi .* ended: BROKEN");
        try (FakeConnection gateway = deployment.connect()) {
            gateway.send(message(1, "order", GatewayMessages.params(nextRid(), TOKEN, "wait")));
            gateway.send(message(2, "ping", "{}"));
            assertThat(gateway.readLine()).contains("\"id\":2");
            deployment.services.complete(beginLine.split(" ")[1], "done in the end");
            assertThat(gateway.readLine()).contains(GatewayMessages.base64("done in the end"));
        }
    }

    @Test
    void retryOfAnUnfinishedRunIsAnsweredAsInFlight() throws Exception {
        try (Call first = new Call().send("POST", "/orders", TOKEN, "wait")) {
            await(deployment.received, "begin .* order");
            long sentAtMillis = System.currentTimeMillis() - 2_500;
            expect(
                    exchange(
                            "POST",
                            "/orders",
                            TOKEN,
                            "wait",
                            "HTTP_X_REQUEST_START",
                            "" + sentAtMillis),
                    409,
                    "its forerunner is still in flight");
            expect(first.answer(), 504, "given up");
        }
    }

    @Test
    void failedRunAndItsRetryAreAnsweredWithAnError() throws Exception {
        expect(order("key 1", "bad"), 500, "failed");
        expect(order("key 1", "bad"), 500, "failed");
    }

    @Test
    void lateRequestIsThrottledWithRetryAfter() throws Exception {
        long sentAtMillis = System.currentTimeMillis() - 3_000;
        UwsgiResponse answer =
                exchange(
                        "POST",
                        "/orders",
                        "key 1",
                        "done",
                        "HTTP_X_REQUEST_START",
                        "" + sentAtMillis);
        assertThat(answer.status()).isEqualTo(503);
        assertThat(Integer.parseInt(answer.headers().get("retry-after"))).isPositive();
        assertThat(answer.headers()).containsKey("x-backoff-ms");
        assertThat(runs).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "GET,/none,,,404",
        "POST,/parts/7,,,404",
        "POST,/orders,,done,400",
        "POST,/orders,k,BIG,413",
        "GET,/parts/,,,404"
    })
    void invalidRequestIsAnsweredWithItsStatus(
            String method, String path, String key, String body, int status) throws Exception {
        String requestBody = body == null ? "" : body.equals("BIG") ? "x".repeat(2_049) : body;
        assertThat(exchange(method, path, key, requestBody).status()).isEqualTo(status);
        expect(exchange("GET", "/parts/7", null, "done read"), 200, "result of done read");
    }

    @ParameterizedTest
    @CsvSource({"0,9,400", "5,0,0", "22,0,0", "255,255,0"})
    void malformedHeaderClosesOnlyItsOwnConnection(int modifier, int size, int status)
            throws Exception {
        List<Call> others = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            others.add(new Call().send("GET", "/parts/" + i, null, "wait " + i));
        }
        try (Call bad = new Call()) {
            bad.socket
                    .getOutputStream()
                    .write(
                            new byte[] {
                                (byte) modifier, (byte) size, 0, 0, 9, 9, 9, 9, 9, 9, 9, 9, 9
                            });
            UwsgiResponse answer = bad.answer();
            if (status == 0) {
                assertThat(answer).isNull();
            } else {
                assertThat(answer.status()).isEqualTo(status);
            }
        }
        await(deployment.log, "connection uwsgi .* ended: BAD_INPUT");
        for (int i = 0; i < 2; i++) { // on two cores two requests run and the others are queued
            String rid = await(deployment.received, "begin .* read").split(" ")[1];
            deployment.services.complete(rid, "result");
        }
        int successes = 0;
        for (Call call : others) {
            UwsgiResponse answer = null;
            if (successes < 2) {
                answer = call.answer();
            }
            if (answer != null && answer.status() == 200) {
                successes++;
            }
            call.close();
        }
        assertThat(successes).isPositive();
    }

    @Test
    void requestsOnOneConnectionAreAnsweredInOrderAndPingsAreAnswered() throws Exception {
        try (Call call = new Call()) {
            call.send("GET", "/parts/1", null, "done a")
                    .send("GET", "/none", null, "")
                    .send("GET", "/parts/2", null, "done b");
            expect(call.answer(), 200, "result of done a");
            assertThat(call.answer().status()).isEqualTo(404);
            expect(call.answer(), 200, "result of done b");
            assertThat(call.socket.getInputStream().read()).isNegative();
        }
        try (Call ping = new Call()) {
            ping.socket.getOutputStream().write(new byte[] {100, 0, 0, 0});
            assertThat(ping.socket.getInputStream().readNBytes(4)).containsExactly(100, 0, 0, 0);
        }
    }

    @Test
    void drainAnswersRequestsOfBothFrontends() throws Exception {
        try (FakeConnection gateway = deployment.connect();
                Call call = new Call().send("POST", "/orders", "key 1", "wait one")) {
            String first = await(deployment.received, "begin .* order").split(" ")[1];
            gateway.send(message(1, "order", GatewayMessages.params(nextRid(), TOKEN, "wait two")));
            String second = await(deployment.received, "begin .* order").split(" ")[1];
            deployment.terminate();
            await(deployment.log, "server is draining");
            deployment.services.complete(first, "done one");
            deployment.services.complete(second, "done two");
            expect(call.answer(), 200, "done one");
            assertThat(gateway.readLine()).contains(GatewayMessages.base64("done two"));
            assertThat(deployment.awaitExit()).isZero();
        }
    }

    @Test
    void floodOfIdleConnectionsBlocksNoOtherClient() throws Exception {
        List<Socket> flood = new ArrayList<>();
        try (FakeConnection gateway = deployment.connect()) {
            gateway.send(
                    message(1, "read", GatewayMessages.params(nextRid(), null, "done before")));
            assertThat(gateway.readLine()).contains("\"result\"");
            for (int i = 0; i < 700; i++) {
                flood.add(new Socket("127.0.0.1", port)); // clients may use 512 of 1024 descriptors
            }
            expect(order("k", "done meanwhile"), 200, "result of done meanwhile");
            gateway.send(
                    message(2, "read", GatewayMessages.params(nextRid(), null, "done behind")));
            assertThat(gateway.readLine()).contains("\"result\"");
            await(deployment.log, "connection uwsgi .* ended: (TOO_MANY|SILENT)");
        } finally {
            for (Socket each : flood) {
                each.close();
            }
        }
    }

    // Guards against memory that grows with requests of very many short variables, which wait for
    // an earlier request of their connection.
    @Test
    void manyVariablesOfWaitingRequestsDoNotEndTheServer() throws Exception {
        String[] variables = new String[900];
        for (int i = 0; i < variables.length; i += 2) {
            variables[i] = "V" + i;
            variables[i + 1] = "";
        }
        List<Call> calls = new ArrayList<>();
        CountDownLatch senders = new CountDownLatch(HOSTILE_CLIENTS);
        try {
            for (int i = 0; i < HOSTILE_CLIENTS; i++) {
                // retries of one order, which all wait for its run
                Call call = new Call().send("POST", "/orders", "waiting", "open");
                calls.add(call);
                DaemonThreads.start(
                        () -> {
                            try {
                                for (int sent = 0; sent < 30; sent++) {
                                    call.send("GET", "/parts/7", null, "open", variables);
                                }
                            } finally {
                                senders.countDown(); // also if the server closes the connection
                            }
                        });
            }
            assertThat(senders.await(20, TimeUnit.SECONDS)).isTrue();
            expect(order("k", "done beside"), 200, "result of done beside");
            await(deployment.log, "connection uwsgi .* ended: FLOOD");
            assertThat(deployment.isAlive()).isTrue();
        } finally {
            for (Call call : calls) {
                call.close();
            }
        }
    }

    @Test
    void floodingPeerLosesOnlyItsOwnConnection() throws Exception {
        try (Call flooding = new Call()) {
            flooding.send("GET", "/parts/7", null, "open");
            try {
                for (int i = 0; i < 200; i++) {
                    flooding.send("GET", "/parts/7", null, "done " + i);
                }
            } catch (IOException e) {
                // the server closed the connection during a write
            }
            await(deployment.log, "connection uwsgi .* ended: FLOOD");
            expect(order("k", "done beside"), 200, "result of done beside");
        }
    }

    /**
     * Sends requests over both protocols at once, with shared tokens and with clients that
     * disconnect: each other request gets one answer, and each token runs once.
     */
    @Test
    void mixedLoadRunsEachTokenOnceAndAnswersEachRequest() throws Exception {
        int clientCount = 8;
        ExecutorService executor = Executors.newFixedThreadPool(clientCount);
        List<Future<int[]>> results = new ArrayList<>();
        for (int clientIndex = 0; clientIndex < clientCount; clientIndex++) {
            SplittableRandom random = new SplittableRandom(clientIndex);
            int client = clientIndex;
            results.add(executor.submit(() -> sendMixedRequests(random, client)));
        }
        int[] totals = new int[3];
        for (Future<int[]> result : results) {
            for (int i = 0; i < 3; i++) {
                totals[i] += result.get()[i];
            }
        }
        executor.shutdown();
        assertThat(totals[0]).as("answered").isEqualTo(totals[1]);
        assertThat(totals[2]).as("succeeded").isPositive();
        assertThat(runs).isNotEmpty();
    }

    private int[] sendMixedRequests(SplittableRandom random, int clientIndex) throws IOException {
        int[] counts = new int[3];
        try (FakeConnection gateway = deployment.connect()) {
            for (int i = 1; i <= 60; i++) {
                int number = random.nextInt(100); // tokens are shared by all threads and protocols
                String token = String.format("%032x", number);
                String body = "done " + number;
                if (random.nextInt(10) == 0) {
                    try (Call abandoned = new Call().send("POST", "/orders", token, body)) {
                        abandoned.socket.setSoLinger(true, 0);
                    }
                    continue;
                }
                counts[1]++;
                if (random.nextBoolean()) {
                    UwsgiResponse answer = order(token, body);
                    if (answer == null) {
                        continue;
                    }
                    counts[0]++;
                    if (answer.status() == 200) {
                        assertThat(new String(answer.body())).isEqualTo("result of " + body);
                        counts[2]++;
                    }
                } else {
                    gateway.send(
                            message(
                                    i,
                                    "order",
                                    GatewayMessages.params(
                                            String.format("%08x%08x", clientIndex, i),
                                            token,
                                            body)));
                    String line = gateway.readLine();
                    if (line == null) {
                        continue;
                    }
                    counts[0]++;
                    if (line.contains("\"result\"")) {
                        assertThat(line).contains(GatewayMessages.base64("result of " + body));
                        counts[2]++;
                    }
                }
            }
        }
        return counts;
    }
}
