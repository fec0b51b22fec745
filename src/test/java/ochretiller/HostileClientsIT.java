package ochretiller;

import static ochretiller.Deployment.await;
import static ochretiller.fakes.GatewayMessages.message;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that clients which misuse their connections do no harm to the requests of others. */
class HostileClientsIT {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

    private final List<FakeConnection> clients = new ArrayList<>();
    private Deployment deployment;
    private FloodingClients flood;
    private int lastRid;

    @AfterEach
    void stop() throws Exception {
        flood.stop();
        for (FakeConnection client : clients) {
            client.close();
        }
        deployment.close();
    }

    private void start(int memoryMb, int sockets) throws Exception {
        start(memoryMb, sockets, 4);
    }

    private void start(int memoryMb, int sockets, int clientTimeoutSeconds) throws Exception {
        String giveUp = "\"giveUpNs\":" + TimeUnit.SECONDS.toNanos(clientTimeoutSeconds);
        deployment =
                new Deployment(
                        json ->
                                json.replaceFirst("\"memory_mb\":\\d+", "\"memory_mb\":" + memoryMb)
                                        .replaceFirst("\"sockets\":\\d+", "\"sockets\":" + sockets)
                                        .replace("\"giveUpNs\":4000000000", giveUp));
        await(deployment.received, "usage fence");
        flood = new FloodingClients(deployment);
    }

    private FakeConnection connect() throws IOException {
        FakeConnection client = deployment.connect();
        clients.add(client);
        return client;
    }

    private String nextRid() {
        lastRid++;
        return rid(lastRid);
    }

    private static String rid(int number) {
        return String.format("%016x", number);
    }

    private String read(long id, String body) {
        return message(id, "read", GatewayMessages.params(nextRid(), null, body));
    }

    private void completeAllRuns() {
        deployment.services.runHandler =
                (rid, operation, body) -> deployment.services.complete(rid, "done");
    }

    private String order(long id, String body) {
        return message(id, "order", GatewayMessages.params(nextRid(), TOKEN, body));
    }

    // Guards against a throttled response, which says that nothing ran, to the retry of an order
    // that has run, while other clients hold all connections.
    @Test
    void retryOfAnOrderThatRanIsReplayedAboveTheConnectionLimit() throws Exception {
        start(64, 64);
        FakeConnection first = connect();
        first.send(order(1, "good"));
        String result = "\"data\":\"" + GatewayMessages.base64("result of " + rid(1)) + '"';
        assertThat(first.readLine()).contains(result);
        first.close();
        for (int i = 0; i < 32; i++) {
            FakeConnection other = connect();
            other.send(message(1, "ping", "{}") + "{\"jsonrpc\":\"2.0\",\"id\":2,");
            assertThat(other.readLine()).contains("\"green\":true");
        }
        FakeConnection surplus = connect();
        surplus.send(order(1, "good"));
        assertThat(surplus.readLine()).contains(result);
    }

    // Guards against a server that runs out of memory while clients send many small requests at
    // once, and come again when they are cut off.
    @Test
    void floodOfSmallRequestsDoesNotEndTheServer() throws Exception {
        start(64, 512);
        deployment.services.runHandler = (rid, operation, body) -> {};
        flood.sendRequests(150, 400, "");
        while (flood.answerCount() < 200_000 && deployment.isAlive()) {
            Thread.onSpinWait();
        }
        flood.stop();
        assertThat(deployment.isAlive()).isTrue();
        assertThat(deployment.allLogLines).noneMatch(line -> line.contains("OutOfMemoryError"));
    }

    // Guards against usual requests that are lost because others flood: the connections of all were
    // closed once the input of all was high.
    @Test
    void usualRequestsBesideAFloodAreAllAnswered() throws Exception {
        start(64, 512);
        completeAllRuns();
        FakeConnection usual = connect();
        flood.sendRequests(60, 300, "x".repeat(240));
        for (int group = 0; group < 60; group++) {
            for (int i = 0; i < 5; i++) {
                usual.send(read(group * 5L + i, "x".repeat(2_000)));
            }
            for (int i = 0; i < 5; i++) {
                assertThat(usual.readLine()).contains("\"id\":");
            }
        }
        flood.stop();
        assertThat(flood.answerCount()).isPositive();
    }

    // Guards against answers that come late or never while one client sends unsound requests on one
    // connection at full speed, and against memory that grows meanwhile.
    @Test
    void requestsBesideOneClientAtFullSpeedAreServedInTime() throws Exception {
        start(64, 512);
        completeAllRuns();
        flood.sendUnsoundRequests();
        FakeConnection usual = connect();
        long slowestNanos = 0;
        for (int served = 0; served < 300 || flood.answerCount() < 300_000; served++) {
            long start = System.nanoTime();
            usual.send(read(served, "good"));
            assertThat(usual.readLine()).contains("\"result\"");
            slowestNanos = Math.max(slowestNanos, System.nanoTime() - start);
        }
        assertThat(slowestNanos).as("objective of the operation").isLessThan(2_000_000_000L);
        assertThat(deployment.isAlive()).isTrue();
    }

    // Guards against a process that passes its memory limit while hundreds of clients stop half way
    // through a long request.
    @Test
    void clientsThatStopHalfWayThroughARequestDoNotEndTheServer() throws Exception {
        start(64, 1_024);
        completeAllRuns();
        FakeConnection usual = connect();
        for (int i = 0; i < 500; i++) {
            FakeConnection slow = connect();
            slow.send(message(1, "ping", "{}"));
            assertThat(slow.readLine()).contains("\"green\":");
            slow.sendUntilClosed("{\"jsonrpc\":\"2.0\",\"id\":2," + "\"a\":1,".repeat(1_300), 1);
        }
        await(deployment.log, "connection gateway .* ended: FLOOD");
        usual.send(read(1, "x".repeat(2_000)));
        assertThat(usual.readLine()).contains("\"result\"");
        assertThat(deployment.isAlive()).isTrue();
    }

    // Guards against a second run of an id with an effect whose client left, and then came again.
    @Test
    void idOfANonIdempotentRequestRunsOnceAlthoughItsClientLeft() throws Exception {
        deployment = new Deployment(json -> json.replace("\"pure\"", "\"unsafe\""));
        await(deployment.received, "usage fence");
        flood = new FloodingClients(deployment);
        FakeConnection first = connect();
        String request = read(1, "wait");
        first.send(request);
        await(deployment.received, "begin " + rid(1));
        first.reset();
        await(deployment.log, "connection gateway .* ended: BROKEN");
        deployment.services.complete(rid(1), "ran");
        FakeConnection second = connect();
        second.send(read(1, "good"));
        assertThat(second.readLine()).contains("\"result\"");
        second.send(request);
        assertThat(second.readLine()).contains("\"error\"").contains("rid is in use");
        assertThat(deployment.received).noneMatch(line -> line.startsWith("begin " + rid(1)));
    }

    // Guards against memory that grows with requests which were read and wait for their answers.
    @Test
    void waitingRetriesOfManyClientsDoNotEndTheServer() throws Exception {
        start(64, 512, 30);
        deployment.services.runHandler = (rid, operation, body) -> {};
        String body = "x".repeat(2_000);
        FakeConnection usual = connect();
        usual.send(order(1, body));
        await(deployment.received, "begin .* order");
        for (int i = 0; i < 220; i++) {
            FakeConnection client = connect();
            client.send(message(1, "ping", "{}"));
            assertThat(client.readLine()).contains("\"green\":");
            for (int id = 2; id <= 32; id++) {
                client.send(order(id, body));
            }
        }
        for (FakeConnection client : clients.subList(1, clients.size())) {
            client.send(message(33, "ping", "{}"));
            String line = client.readLine();
            while (line != null && !line.contains("\"id\":33,")) {
                line = client.readLine();
            }
        }
        deployment.services.complete(rid(1), "ran");
        assertThat(usual.readLine()).contains(GatewayMessages.base64("ran"));
        assertThat(deployment.isAlive()).isTrue();
    }

    // Guards against memory that grows with retries whose clients have left, because each is to be
    // compared with the order it repeats a second later.
    @Test
    void conflictingRetriesOfClientsThatLeaveDoNotEndTheServer() throws Exception {
        start(44, 256, 30);
        deployment.services.runHandler = (rid, operation, body) -> {};
        FakeConnection usual = connect();
        usual.send(order(1, "x"));
        await(deployment.received, "begin .* order");
        flood.sendRetries(20, TOKEN, "y".repeat(2_000));
        while (flood.answerCount() < 2_000 && deployment.isAlive()) {
            Thread.onSpinWait();
        }
        flood.stop();
        assertThat(deployment.isAlive()).isTrue();
        deployment.services.complete(rid(1), "ran");
        assertThat(usual.readLine()).contains(GatewayMessages.base64("ran"));
    }
}
