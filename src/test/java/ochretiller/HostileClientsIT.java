package ochretiller;

import static ochretiller.Deployment.await;
import static ochretiller.fakes.GatewayMessages.message;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that clients which misuse their connections do no harm to the requests of others. */
class HostileClientsIT {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

    private final List<FakeConnection> clients = new ArrayList<>();
    private Deployment deployment;
    private int lastRid;

    @AfterEach
    void stop() throws Exception {
        for (FakeConnection client : clients) {
            client.close();
        }
        deployment.close();
    }

    private void start(int memoryMb, int sockets) throws Exception {
        deployment =
                new Deployment(
                        json ->
                                json.replaceFirst("\"memory_mb\":\\d+", "\"memory_mb\":" + memoryMb)
                                        .replaceFirst(
                                                "\"sockets\":\\d+", "\"sockets\":" + sockets));
        await(deployment.received, "usage fence");
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
}
