package ochretiller.fakes;

import java.io.IOException;
import java.net.Socket;

/**
 * Plays the outside of a server that is only started to keep its loaded classes: every kind of
 * message goes over each of its connections once or a few times. Arguments: the ports of the
 * processor, the records service and the server.
 */
public final class ClassArchiveRun {
    private static final String HOST = "127.77.0.1";
    private static final int ROUNDS = 12;

    private ClassArchiveRun() {}

    public static void main(String[] ports) throws Exception {
        int[] own = {Integer.parseInt(ports[0]), Integer.parseInt(ports[1]), 0};
        int server = Integer.parseInt(ports[2]);
        FakeServices outside = new FakeServices(HOST, own, line -> {}, report -> {});
        FakeConnection gateway = dial(server);
        int id = 0;
        for (boolean good = false; !good; ) {
            gateway.send(GatewayMessages.message(++id, "ping", "{\"full\":true}"));
            good = gateway.line().contains("true");
        }
        for (int round = 0; round < ROUNDS; round++) {
            String token = String.format("%032x", round);
            ask(
                    gateway,
                    GatewayMessages.message(
                            ++id, "read", GatewayMessages.params(rid(id), null, "good")));
            for (int times = 0; times < 2; times++) {
                ask(
                        gateway,
                        GatewayMessages.message(
                                ++id,
                                "order",
                                GatewayMessages.params(rid(id), token, "call DONE")));
            }
            ask(
                    gateway,
                    GatewayMessages.message(
                            ++id, "order", GatewayMessages.params(rid(id), token, "other")));
            ask(gateway, GatewayMessages.message(++id, "unknown", "{}"));
        }
        gateway.send(
                GatewayMessages.message(
                        ++id, "read", GatewayMessages.params(rid(id), null, "wait")));
        gateway.send("{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":" + id + "}}\n");
        ask(gateway, GatewayMessages.message(++id, "ping", "{}"));
        try (FakeConnection other = new FakeConnection(new Socket(HOST, server))) {
            other.send("not JSON\n");
            if (other.line() != null) {
                throw new IOException("bad input was answered");
            }
        }
        gateway.close();
        outside.close();
    }

    private static String rid(int id) {
        return String.format("%016x", id);
    }

    private static void ask(FakeConnection gateway, String message) throws IOException {
        gateway.send(message).line();
    }

    private static FakeConnection dial(int port) throws Exception {
        for (int tries = 0; ; tries++) {
            try {
                return new FakeConnection(new Socket(HOST, port));
            } catch (IOException e) {
                if (tries > 100) {
                    throw e;
                }
                Thread.sleep(50);
            }
        }
    }
}
