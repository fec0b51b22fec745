package ochretiller;

import static ochretiller.fakes.GatewayMessages.message;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import ochretiller.fakes.DaemonThreads;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;

/**
 * Clients that send at full speed, on a new connection whenever the last one has ended, until they
 * are stopped. Each has a thread.
 */
final class FloodingClients {
    /** Retries that each client sends on a connection, below the limit of open requests. */
    private static final int RETRIES_AT_ONCE = 31;

    private static final int UNSOUND_REQUESTS_AT_ONCE = 1_000;

    private final Deployment deployment;
    private final AtomicBoolean isStopped = new AtomicBoolean();
    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong answers = new AtomicLong();

    FloodingClients(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Stops all clients. */
    void stop() {
        isStopped.set(true);
    }

    /** Returns the number of answers; those to retries are counted by connection. */
    long answerCount() {
        return answers.get();
    }

    private String nextRid() {
        return String.format("f%015x", requests.incrementAndGet());
    }

    /** Starts clients that send many requests at once and read the answers. */
    void sendRequests(int clientCount, int requestsAtOnce, String body) {
        for (int i = 0; i < clientCount; i++) {
            DaemonThreads.start(() -> sendRequests(requestsAtOnce, body));
        }
    }

    private void sendRequests(int requestsAtOnce, String body) throws IOException {
        while (!isStopped.get()) {
            StringBuilder text = new StringBuilder();
            for (int id = 1; id <= requestsAtOnce; id++) {
                text.append(message(id, "read", GatewayMessages.params(nextRid(), null, body)));
            }
            try (FakeConnection client = deployment.connect()) {
                DaemonThreads.start(() -> client.sendUntilClosed(text.toString(), 1));
                for (int i = 0; i < requestsAtOnce && client.readLine() != null; i++) {
                    answers.incrementAndGet();
                }
            }
        }
    }

    /** Starts a client that sends unsound requests without a pause. */
    void sendUnsoundRequests() {
        String text = message(7, "no-such-operation", "{}").repeat(UNSOUND_REQUESTS_AT_ONCE);
        DaemonThreads.start(
                () -> {
                    while (!isStopped.get()) {
                        try (FakeConnection client = deployment.connect()) {
                            DaemonThreads.start(() -> countAnswers(client));
                            client.sendUntilClosed(text, UNSOUND_REQUESTS_AT_ONCE);
                        }
                    }
                });
    }

    private void countAnswers(FakeConnection client) throws IOException {
        while (client.readLine() != null) {
            answers.incrementAndGet();
        }
    }

    /** Starts clients that send retries of an order, and leave when all of them were read. */
    void sendRetries(int clientCount, String token, String body) {
        for (int i = 0; i < clientCount; i++) {
            DaemonThreads.start(() -> sendRetries(token, body));
        }
    }

    private void sendRetries(String token, String body) throws IOException {
        long pingId = RETRIES_AT_ONCE + 1;
        while (!isStopped.get()) {
            StringBuilder text = new StringBuilder();
            for (int id = 1; id <= RETRIES_AT_ONCE; id++) {
                text.append(message(id, "order", GatewayMessages.params(nextRid(), token, body)));
            }
            text.append(message(pingId, "ping", "{}"));
            FakeConnection client = deployment.connect();
            client.sendUntilClosed(text.toString(), 1);
            String line = client.readLine();
            while (line != null && !line.contains("\"id\":" + pingId + ",")) {
                line = client.readLine();
            }
            if (line != null) {
                answers.incrementAndGet();
            }
            client.reset();
        }
    }
}
