package ochretiller.fakes;

import java.io.IOException;
import java.net.Socket;

/**
 * Makes a server load its classes for the class archive: sends every kind of message over each of
 * its connections at least once. Arguments: the ports of the processor, the records service and the
 * server.
 */
public final class ClassArchiveRun {
    private static final String HOST = "127.77.0.1";
    private static final int ROUNDS = 12;

    private ClassArchiveRun() {}

    /** Exchanges the messages; waits up to five seconds for the port of the server to open. */
    public static void main(String[] ports) throws Exception {
        int[] servicePorts = {Integer.parseInt(ports[0]), Integer.parseInt(ports[1]), 0};
        int serverPort = Integer.parseInt(ports[2]);
        FakeServices services = new FakeServices(HOST, servicePorts, line -> {}, report -> {});
        FakeConnection gateway = connect(serverPort);
        int id = 0;
        for (boolean isReady = false; !isReady; ) {
            gateway.send(GatewayMessages.message(++id, "ping", "{\"full\":true}"));
            isReady = gateway.readLine().contains("true");
        }
        for (int round = 0; round < ROUNDS; round++) {
            String token = String.format("%032x", round);
            exchange(
                    gateway,
                    GatewayMessages.message(
                            ++id, "read", GatewayMessages.params(rid(id), null, "good")));
            for (int attempt = 0; attempt < 2; attempt++) {
                exchange(
                        gateway,
                        GatewayMessages.message(
                                ++id,
                                "order",
                                GatewayMessages.params(rid(id), token, "call DONE")));
            }
            exchange(
                    gateway,
                    GatewayMessages.message(
                            ++id, "order", GatewayMessages.params(rid(id), token, "other")));
            exchange(gateway, GatewayMessages.message(++id, "unknown", "{}"));
        }
        gateway.send(
                GatewayMessages.message(
                        ++id, "read", GatewayMessages.params(rid(id), null, "wait")));
        gateway.send("{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":" + id + "}}\n");
        exchange(gateway, GatewayMessages.message(++id, "ping", "{}"));
        try (FakeConnection badGateway = new FakeConnection(new Socket(HOST, serverPort))) {
            badGateway.send("not JSON\n");
            if (badGateway.readLine() != null) {
                throw new IOException("the server answered a line that is not JSON");
            }
        }
        gateway.close();
        services.close();
    }

    private static String rid(int id) {
        return String.format("%016x", id);
    }

    private static void exchange(FakeConnection gateway, String message) throws IOException {
        gateway.send(message).readLine();
    }

    private static FakeConnection connect(int port) throws Exception {
        for (int attempts = 0; ; attempts++) {
            try {
                return new FakeConnection(new Socket(HOST, port));
            } catch (IOException e) {
                if (attempts > 100) {
                    throw e;
                }
                Thread.sleep(50);
            }
        }
    }
}
