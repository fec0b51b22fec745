package ochretiller;

import static ochretiller.fakes.GatewayMessages.message;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;
import ochretiller.store.VolatileDirectory;
import org.junit.jupiter.api.Test;

/** Checks a server whose disk stalls while it has a long queue. */
class StalledDiskQueueTest extends InProcessServerFixture {
    private static final int GATEWAYS = 32;
    private static final int ORDERS_PER_GATEWAY = 30;

    /** Enough for a stack overflow if each queued order were started inside the previous one. */
    private static final int MIN_QUEUED_ORDERS = 400;

    private static final int ORDERS_THAT_SHOW_THE_RUN_TIME = 100;

    /** Orders on one connection, some of which are answered. */
    private record SentOrders(FakeConnection connection, int openCount) {}

    /** Opens a connection and sends orders on it; returns when the server has read them all. */
    private SentOrders sendOrders() throws Exception {
        FakeConnection connection = new FakeConnection(new Socket("127.0.0.1", port));
        for (int i = 0; i < ORDERS_PER_GATEWAY; i++) {
            lastRid++;
            String params =
                    GatewayMessages.params(
                            String.format("%016x", lastRid),
                            String.format("%032x", lastRid),
                            "order " + lastRid);
            connection.send(message(lastRid, "order", params));
        }
        connection.send(message(++lastRid, "ping", "{}"));
        int openCount = ORDERS_PER_GATEWAY;
        while (!connection.readLine().contains("\"id\":" + lastRid + ',')) {
            openCount--; // the answer to an order that was not queued
        }
        return new SentOrders(connection, openCount);
    }

    /** Guards against a stack overflow when the disk stalls while many orders are queued. */
    @Test
    void longQueueOfOrdersIsThrottledWhenTheDiskStalls() throws Exception {
        start();
        for (int i = 0; i < ORDERS_THAT_SHOW_THE_RUN_TIME; i++) {
            order(-1 - i, "short " + i); // so that a long queue is expected to be run in time
        }
        BlockingQueue<String> heldRuns = new LinkedBlockingQueue<>();
        services.runHandler =
                (rid, operation, body) -> {
                    runs.merge(body, 1, Integer::sum);
                    heldRuns.add(rid);
                };
        List<SentOrders> sent = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            sent.add(sendOrders());
        }
        int queuedCount = sent.stream().mapToInt(SentOrders::openCount).sum();
        assertThat(queuedCount).isGreaterThan(MIN_QUEUED_ORDERS);
        CountDownLatch released = new CountDownLatch(1);
        disk.fault = VolatileDirectory.stallOn("force", released);
        for (String rid : heldRuns) {
            services.complete(rid, "result"); // the queue's next order takes its slot
        }
        int throttledCount = 0;
        for (SentOrders orders : sent) {
            for (int i = 0; i < orders.openCount(); i++) {
                String answer = orders.connection().readLine();
                assertThat(answer).as("answer to each order").isNotNull();
                throttledCount += answer.contains("-32014") ? 1 : 0;
            }
            orders.connection().close();
        }
        released.countDown();
        assertThat(throttledCount).isEqualTo(queuedCount - heldRuns.size());
    }
}
