package ochretiller;

import static ochretiller.Deployment.await;
import static ochretiller.fakes.GatewayMessages.message;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Kills the packaged server at each step of a keyed invocation and restarts it on the same store.
 * Retries must get the result if it can be known, and no request may run twice.
 */
class RestartIT {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    @TempDir private Path folder;
    private Deployment deployment;
    private FakeConnection gateway;
    private int lastRid;

    /**
     * Runs by request body, which identifies a request; more than one run is a duplicate effect.
     */
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    @BeforeEach
    void start() throws Exception {
        Path operator =
                Files.writeString(
                        folder.resolve("operator.json5"),
                        "{ remember: { folder: '"
                                + folder.resolve("store")
                                + "', answer_wait_ms: 3000, mark_wait_ms: 3000 },\n"
                                + "  metrics: { file: '"
                                + folder.resolve("metrics.prom")
                                + "', every_ms: 100 } }");
        deployment = new Deployment(operator, this::scriptServices);
        awaitProcessorAndConnect();
    }

    /** Scripts a processor that survives restarts of the server and counts runs. */
    private void scriptServices(Deployment newDeployment) {
        newDeployment.services.resendsNotices = true;
        newDeployment.services.runHandler =
                (rid, operation, body) -> {
                    runs.merge(body, 1, Integer::sum);
                    if (body.startsWith("done")) {
                        newDeployment.services.complete(rid, "result of " + body);
                    } else if (body.startsWith("bad")) {
                        newDeployment.services.sendNotice("complete", rid + " error 5 0\r\n\r\n");
                    } else if (body.startsWith("call")) {
                        newDeployment.services.sendNotice("ask", rid + " 4\r\nwhat\r\n");
                    }
                };
    }

    private void awaitProcessorAndConnect() throws IOException {
        await(deployment.received, "usage fence");
        gateway = deployment.connect();
    }

    @AfterEach
    void stop() throws Exception {
        gateway.close();
        deployment.close();
        assertThat(runs.values()).as("runs of each request").allMatch(count -> count == 1);
    }

    private void kill() throws Exception {
        deployment.kill();
        gateway.close();
    }

    private void restart() throws Exception {
        deployment.restart();
        awaitProcessorAndConnect();
    }

    private String rid() {
        return String.format("%016x", ++lastRid);
    }

    private String order(long id, String body) {
        return message(id, "order", GatewayMessages.params(rid(), TOKEN, body));
    }

    /**
     * Sends an order whose run continues until the test completes it, and waits for its start.
     *
     * @return the request id of the run
     */
    private String startOrder(long id) throws IOException {
        gateway.send(order(id, "wait"));
        String rid = String.format("%016x", lastRid);
        await(deployment.received, "begin " + rid);
        return rid;
    }

    private void expectResult(long id, String result) throws IOException {
        assertThat(gateway.readLine())
                .startsWith(
                        "{\"jsonrpc\":\"2.0\",\"id\":"
                                + id
                                + ",\"result\":{\"data\":\""
                                + GatewayMessages.base64(result)
                                + "\"");
    }

    private void expectError(long id) throws IOException {
        assertThat(gateway.readLine())
                .startsWith("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"error\":{\"code\":-32000,");
    }

    @Test
    void resultIsReplayedAfterOneAndAfterSeveralKills() throws Exception {
        gateway.send(order(1, "done once"));
        expectResult(1, "result of done once");
        for (int round = 0; round < 2; round++) {
            kill();
            restart();
            gateway.send(order(2, "done once"));
            expectResult(2, "result of done once");
        }
        kill();
        deployment.restart(); // killed again before any request
        kill();
        restart();
        gateway.send(order(3, "done once"));
        expectResult(3, "result of done once");
    }

    @Test
    void resultIsReplayedAfterAGracefulShutdown() throws Exception {
        gateway.send(order(1, "done once"));
        expectResult(1, "result of done once");
        deployment.terminate();
        assertThat(deployment.awaitExit()).isZero();
        restart();
        gateway.send(order(2, "done once"));
        expectResult(2, "result of done once");
        try (Stream<Path> files = Files.list(folder.resolve("store"))) {
            assertThat(files.filter(file -> file.toString().endsWith(".tmp"))).isEmpty();
        }
    }

    /** The stopped server never reads the request from its socket, so only the retry runs. */
    @Test
    void retryRunsAfterAKillBeforeTheMarker() throws Exception {
        deployment.signal("STOP");
        gateway.send(order(1, "done late"));
        kill();
        restart();
        gateway.send(order(2, "done late"));
        expectResult(2, "result of done late");
    }

    @Test
    void outcomeOfARunThatEndsDuringTheDowntimeIsReplayed() throws Exception {
        String rid = startOrder(1);
        kill();
        deployment.services.complete(rid, "done meanwhile");
        restart();
        gateway.send(order(2, "wait"));
        expectResult(2, "done meanwhile");
        kill();
        restart(); // the reported outcome was stored too
        gateway.send(order(3, "wait"));
        expectResult(3, "done meanwhile");
    }

    @Test
    void retriesWaitForARunThatContinuesAcrossARestart() throws Exception {
        String rid = startOrder(1);
        gateway.send(order(2, "wait"));
        kill();
        restart();
        gateway.send(order(3, "wait") + order(4, "wait"));
        gateway.send(message(5, "ping", "{}"));
        assertThat(gateway.readLine())
                .contains("\"id\":5"); // both orders were read before, and wait
        deployment.services.complete(rid, "done at last");
        expectResult(3, "done at last");
        expectResult(4, "done at last");
    }

    @Test
    void retryOfARunWithUnknownOutcomeFailsInTimeAndIsNotRun() throws Exception {
        gateway.send(order(1, "wait"));
        await(deployment.received, "begin");
        kill();
        restart();
        gateway.send(order(2, "wait"));
        expectError(2);
    }

    @Test
    void retryFailsIfTheProcessorWasRestartedToo() throws Exception {
        gateway.send(order(1, "wait"));
        await(deployment.received, "begin");
        kill();
        deployment.services.restartProcessor();
        restart();
        gateway.send(order(2, "wait"));
        expectError(2);
        gateway.send(
                message(3, "order", GatewayMessages.params(rid(), "0".repeat(32), "done other")));
        expectResult(3, "result of done other");
    }

    @Test
    void runThatWaitsForACallIsCancelledAfterARestart() throws Exception {
        gateway.send(order(1, "call"));
        await(deployment.received, "^OP");
        String rid = String.format("%016x", lastRid);
        kill();
        restart();
        await(deployment.received, "interrupt " + rid);
        deployment.services.sendNotice("complete", rid + " cancelled 5 0\r\n\r\n");
        gateway.send(order(2, "call"));
        expectError(2);
        kill();
        restart(); // the end of the run is known, so the retry fails at once
        gateway.send(order(3, "call"));
        expectError(3);
    }

    @Test
    void retryOfAFailedRunFailsAfterARestart() throws Exception {
        gateway.send(order(1, "bad"));
        expectError(1);
        gateway.send(
                message(2, "order", GatewayMessages.params(rid(), "1".repeat(32), "done next")));
        // The marker of this order was forced after the outcome of the first.
        expectResult(2, "result of done next");
        kill();
        restart();
        gateway.send(order(3, "bad"));
        expectError(3);
    }

    @Test
    void retryWithAnotherBodyFailsAfterARestart() throws Exception {
        gateway.send(order(1, "done mine"));
        expectResult(1, "result of done mine");
        kill();
        restart();
        gateway.send(order(2, "done yours"));
        expectError(2);
        gateway.send(order(3, "done mine"));
        expectResult(3, "result of done mine");
        assertThat(runs).doesNotContainKey("done yours");
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600_000, -3_600_000})
    void clockStepDoesNotShortenAWindow(long stepMillis) throws Exception {
        gateway.send(order(1, "done once"));
        expectResult(1, "result of done once");
        kill();
        restart();
        gateway.send(
                message(
                        2,
                        "order",
                        GatewayMessages.params(
                                rid(),
                                System.currentTimeMillis() + stepMillis,
                                TOKEN,
                                "done once")));
        // The client of a request from an hour ago no longer waits: the retry may fail, but it must
        // neither run nor be throttled.
        if (stepMillis > 0) {
            expectResult(2, "result of done once");
        } else {
            assertThat(gateway.readLine()).contains("\"id\":2").doesNotContain("-32014");
        }
    }

    @Test
    void retryBeforeTheProcessorIsAvailableIsAnsweredAndNotThrottled() throws Exception {
        gateway.send(order(1, "done once"));
        expectResult(1, "result of done once");
        gateway.send(message(2, "order", GatewayMessages.params(rid(), "2".repeat(32), "wait")));
        await(deployment.received, "begin .*" + String.format("%016x", lastRid));
        String rid = String.format("%016x", lastRid);
        kill();
        deployment.services.isStarting = true;
        deployment.restart();
        gateway = deployment.connect();
        gateway.send(order(3, "done once"));
        expectResult(3, "result of done once");
        gateway.send(order(4, "done other"));
        expectError(4);
        gateway.send(message(5, "order", GatewayMessages.params(rid(), "2".repeat(32), "wait")));
        gateway.send(
                message(6, "order", GatewayMessages.params(rid(), "3".repeat(32), "done new")));
        assertThat(gateway.readLine()).contains("\"id\":6").contains("\"code\":-32014");
        deployment.services.complete(rid, "done now");
        deployment.services.finishStarting();
        expectResult(5, "done now");
    }

    @Test
    void markersAndResultsAreForcedBeforeTheRunAndTheAnswer() throws Exception {
        for (int i = 0; i < 20; i++) {
            gateway.send(
                    message(
                            i,
                            "order",
                            GatewayMessages.params(rid(), String.format("%032x", i), "done " + i)));
            expectResult(i, "result of done " + i);
        }
        gateway.send(message(20, "read", GatewayMessages.params(rid(), null, "done read")));
        expectResult(20, "result of done read");
        String metrics = "";
        for (int polls = 0;
                polls < 100 && !metrics.contains("ochretiller_store_records_total 40.0");
                polls++) {
            Thread.sleep(50); // the file is written every 100 ms
            if (Files.exists(folder.resolve("metrics.prom"))) {
                metrics = Files.readString(folder.resolve("metrics.prom"));
            }
        }
        assertThat(metrics)
                .contains(
                        "ochretiller_store_records_total 40.0",
                        "ochretiller_store_entries 20.0",
                        "ochretiller_store_well 1.0",
                        "ochretiller_remember_answered_early_total 0.0");
    }

    @Test
    void secondServerOnTheSameStoreExitsWithAnError() throws Exception {
        Path config =
                Files.writeString(
                        folder.resolve("second.json"), GatewayMessages.config(1, 2, 3, 4));
        Process second =
                Deployment.start(
                        config, "serve", "--operator", folder.resolve("operator.json5").toString());
        assertThat(second.waitFor()).isEqualTo(1);
        assertThat(new String(second.getInputStream().readAllBytes()))
                .contains("in use by another process");
    }

    @Test
    void resultIsReplayedInFullAfterAPartialAnswer() throws Exception {
        gateway.send(order(1, "done once"));
        assertThat(gateway.readAvailable(20)).startsWith("{\"jsonrpc\"");
        kill();
        restart();
        gateway.send(order(2, "done once"));
        expectResult(2, "result of done once");
    }

    @Test
    void reloadDuringARunLosesNoResult() throws Exception {
        String rid = startOrder(1);
        deployment.moveServices(json -> json);
        deployment.signal("HUP");
        await(deployment.received, "hello 0");
        deployment.services.complete(rid, "done moved");
        expectResult(1, "done moved");
        kill();
        restart();
        gateway.send(order(2, "wait"));
        expectResult(2, "done moved");
    }

    /**
     * Crashes the server between two steps: the retry runs, gets the stored result or gets an
     * error, and nothing runs twice.
     */
    @ParameterizedTest
    @CsvSource({
        "before-write:1,runs",
        "after-write:1,unknown",
        "after-force:1,unknown",
        "before-write:2,result",
        "after-write:2,result",
        "after-force:2,result"
    })
    void crashBetweenTwoStepsCausesNoSecondRun(String crashPoint, String expected)
            throws Exception {
        startCrashingAt(crashPoint);
        gateway.send(order(1, "done once"));
        assertThat(deployment.awaitExit()).isEqualTo(137);
        assertThat(gateway.readLine()).isNull();
        gateway.close();
        restart();
        gateway.send(order(2, "done once"));
        if (expected.equals("unknown")) {
            expectError(2);
        } else {
            expectResult(2, "result of done once");
        }
        assertThat(runs.getOrDefault("done once", 0)).isEqualTo(expected.equals("unknown") ? 0 : 1);
    }

    /** Crashes twice in a row while reading the store of a killed server. */
    @ParameterizedTest
    @ValueSource(strings = {"truncate:1", "after-write:1", "create:1", "create:2", "rename:1"})
    void crashDuringRecoveryLosesNoResult(String crashPoint) throws Exception {
        gateway.send(order(1, "done once"));
        expectResult(1, "result of done once");
        kill();
        for (String point : List.of(crashPoint, "create:1")) {
            deployment.start(point);
            assertThat(deployment.awaitExit()).isEqualTo(137);
        }
        restart();
        gateway.send(order(2, "done once"));
        expectResult(2, "result of done once");
    }

    private void startCrashingAt(String crashPoint) throws Exception {
        // A graceful shutdown, so that the next record to be written is the marker of the test.
        deployment.terminate();
        assertThat(deployment.awaitExit()).isZero();
        gateway.close();
        deployment.start(crashPoint);
        await(deployment.log, "listens");
        awaitProcessorAndConnect();
    }
}
