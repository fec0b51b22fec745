package ochretiller;

import static ochretiller.Deployment.await;
import static ochretiller.fakes.GatewayMessages.message;
import static ochretiller.fakes.GatewayMessages.params;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests simultaneous events on the packaged program. Stopping the process with SIGSTOP while both
 * events arrive makes them simultaneous.
 */
class RaceConditionsIT {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private static final String SHUTDOWN = "\"shutdown\"";
    private Deployment deployment;
    private FakeConnection gateway;

    private void start() throws Exception {
        deployment = new Deployment();
        await(deployment.received, "usage fence");
        gateway = deployment.connect();
    }

    @AfterEach
    void stop() throws Exception {
        if (gateway != null) {
            gateway.close();
        }
        deployment.close();
    }

    private static String rid(int number) {
        return String.format("%016x", number);
    }

    private static String read(int id, String body) {
        return message(id, "read", params(rid(id), null, body));
    }

    private static String order(int id, String body) {
        return message(id, "order", params(rid(id), TOKEN, body));
    }

    private void expectResult(int id, String result) throws Exception {
        assertThat(gateway.readLine())
                .contains(
                        "\"id\":"
                                + id
                                + ",\"result\":{\"data\":\""
                                + GatewayMessages.base64(result)
                                + "\"");
    }

    private long beginCount(int id) {
        return deployment.received.stream()
                .filter(line -> line.startsWith("begin " + rid(id)))
                .count();
    }

    @Test
    void keyedRunThatEndsWhileItIsAbortedAndRetriedRunsOnceAndIsReplayed() throws Exception {
        start();
        gateway.send(order(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.signal("STOP");
        gateway.send(
                "{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":1}}\n"
                        + order(2, "wait"));
        deployment.services.complete(rid(1), "once");
        deployment.signal("CONT");
        String answer = gateway.readLine();
        // If the end of the run is read before the abort, the first attempt is answered too.
        if (answer.contains("\"id\":1,")) {
            answer = gateway.readLine();
        }
        assertThat(answer)
                .contains(
                        "\"id\":2,\"result\":{\"data\":\"" + GatewayMessages.base64("once") + "\"");
        assertThat(beginCount(1) + beginCount(2)).isZero();
    }

    @Test
    void retriesOfAnAbortedAttemptGetTheResultOfItsRun() throws Exception {
        start();
        gateway.send(order(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        gateway.send(
                order(2, "wait")
                        + "{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":1}}\n"
                        + order(3, "wait"));
        gateway.send(message(9, "ping", "{}"));
        assertThat(gateway.readLine()).contains("\"id\":9,"); // all earlier messages are processed
        deployment.services.complete(rid(1), "once");
        expectResult(2, "once");
        expectResult(3, "once");
        assertThat(beginCount(2) + beginCount(3)).isZero();
    }

    @Test
    void noticeInTransitDuringAReconnectIsProcessedOnce() throws Exception {
        start();
        gateway.send(order(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.signal("STOP");
        deployment.services.greeting =
                "hi hot 3600000\r\ncomplete 1 " + rid(1) + " complete 5 4\r\nkept\r\n";
        deployment.services.complete(rid(1), "kept");
        deployment.services.processorLink.reset();
        deployment.signal("CONT");
        expectResult(1, "kept");
        gateway.send(order(2, "wait"));
        expectResult(2, "kept");
        gateway.send(message(3, "ping", "{}"));
        assertThat(gateway.readLine()).contains("\"id\":3,"); // no response is repeated before it
        assertThat(beginCount(1) + beginCount(2)).isZero();
    }

    @Test
    void simultaneousTerminationAndReloadLoseNothing() throws Exception {
        start();
        gateway.send(read(1, "wait"));
        await(deployment.received, "begin " + rid(1));
        deployment.moveServices(json -> json);
        deployment.signal("STOP");
        deployment.signal("TERM");
        deployment.signal("HUP");
        gateway.send(read(2, "good"));
        deployment.signal("CONT");
        await(deployment.received, "begin " + rid(1)); // repeated on the new connection
        deployment.services.complete(rid(1), "moved");
        Stream.of(gateway.readLine(), gateway.readLine())
                .forEach(line -> assertThat(line).contains("\"result\":"));
        assertThat(gateway.readLine()).contains(SHUTDOWN);
        gateway.close();
        assertThat(deployment.awaitExit()).isZero();
    }

    @Test
    void terminationBeforeTheProcessorConnectsThrottlesAllAndRunsNothing() throws Exception {
        deployment =
                new Deployment(
                        json -> json,
                        newDeployment -> newDeployment.services.isStarting = true,
                        "exec sh deploy/serve.sh");
        await(deployment.received, "hello 0");
        gateway = deployment.connect();
        gateway.send(read(1, "good"));
        assertThat(gateway.readLine()).contains("\"id\":1,").contains("-32014");
        deployment.terminate();
        await(deployment.log, "server is draining, shutdown timeout \\d+ ms$");
        deployment.services.finishStarting();
        await(deployment.received, "usage fence");
        gateway.send(order(2, "good"));
        assertThat(gateway.readLine()).contains("\"id\":2,").contains("-32014");
        assertThat(gateway.readLine()).contains(SHUTDOWN);
        gateway.close();
        assertThat(deployment.awaitExit()).isZero();
        assertThat(deployment.received).noneMatch(line -> line.startsWith("begin"));
    }

    @Test
    void requestInTransitAtTheEndOfADrainIsThrottled() throws Exception {
        start();
        gateway.send(message(1, "ping", "{}"));
        assertThat(gateway.readLine()).contains("\"id\":1,");
        deployment.terminate();
        assertThat(gateway.readLine()).contains(SHUTDOWN);
        gateway.send(order(2, "good")); // as if sent before the shutdown message arrived
        assertThat(gateway.readLine()).contains("\"id\":2,").contains("-32014");
        assertThat(gateway.readLine()).isNull();
        assertThat(deployment.awaitExit()).isZero();
        assertThat(deployment.received).noneMatch(line -> line.startsWith("begin"));
    }

    @Test
    void idleClientsLeaveDescriptorsForCallsFilesAndTheProcessor() throws Exception {
        int maxDescriptors = 128;
        deployment =
                new Deployment(
                        json -> json.replace("\"sockets\":1024", "\"sockets\":" + maxDescriptors),
                        newDeployment -> {},
                        "ulimit -n " + maxDescriptors + "; exec sh deploy/serve.sh");
        await(deployment.received, "usage fence");
        gateway = deployment.connect();
        gateway.send(read(1, "good"));
        expectResult(1, "result of " + rid(1));
        List<FakeConnection> idle = new ArrayList<>();
        long maxUsed = 0;
        for (int i = 0; i < 2 * maxDescriptors; i++) {
            idle.add(deployment.connect());
            try (Stream<Path> files = Files.list(Path.of("/proc/" + deployment.pid() + "/fd"))) {
                maxUsed = Math.max(maxUsed, files.count());
            }
        }
        await(deployment.log, "connection gateway .* ended: TOO_MANY");
        gateway.send(read(2, "call DONE")); // needs a descriptor for a call
        expectResult(2, "after reply");
        deployment.moveServices(
                json -> json.replace("\"sockets\":1024", "\"sockets\":" + maxDescriptors));
        deployment.signal("HUP"); // needs descriptors for a file and a connection
        await(deployment.log, "configuration reloaded");
        await(deployment.received, "usage fence");
        gateway.send(read(3, "call DONE"));
        expectResult(3, "after reply");
        assertThat(maxUsed).isLessThanOrEqualTo(maxDescriptors);
        for (FakeConnection client : idle) {
            client.close();
        }
    }

    @Test
    void hangupIgnoredByTheParentIsHandledWhenStartedByTheScript() throws Exception {
        deployment =
                new Deployment(
                        json -> json, newDeployment -> {}, "trap '' HUP; exec sh deploy/serve.sh");
        await(deployment.received, "usage fence");
        deployment.moveServices(json -> json);
        deployment.signal("HUP");
        await(deployment.log, "configuration reloaded");
        await(deployment.received, "usage fence");
        gateway = deployment.connect();
        gateway.send(read(1, "call DONE"));
        expectResult(1, "after reply");
    }

    @Test
    void hangupThatCannotBeHandledIsLogged() throws Exception {
        deployment =
                new Deployment(
                        json -> json,
                        newDeployment -> {},
                        "trap '' HUP; exec java -jar target/ochretiller.jar serve");
        await(deployment.received, "usage fence");
        assertThat(deployment.allLogLines)
                .anyMatch(line -> line.contains("the parent process ignores SIGHUP: this server"));
    }
}
