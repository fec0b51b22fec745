package ochretiller.standin;

import java.io.IOException;
import java.net.Socket;

/**
 * Plays the outside of a server that is only started to keep its loaded classes: every kind of
 * message goes over each of its connections once or a few times. Arguments: the ports of the
 * processor, the records service and the server.
 */
public final class Rehearsal {
    private static final String HOST = "127.77.0.1";
    private static final int ROUNDS = 12;

    private Rehearsal() {}

    public static void main(String[] ports) throws Exception {
        int[] own = {Integer.parseInt(ports[0]), Integer.parseInt(ports[1]), 0};
        int server = Integer.parseInt(ports[2]);
        StandIns outside = new StandIns(HOST, own, line -> {}, report -> {});
        Wire gateway = dial(server);
        int id = 0;
        for (boolean good = false; !good; ) {
            gateway.send(Gateways.message(++id, "ping", "{\"full\":true}"));
            good = gateway.line().contains("true");
        }
        for (int round = 0; round < ROUNDS; round++) {
            String token = String.format("%032x", round);
            ask(gateway, Gateways.message(++id, "read", Gateways.params(rid(id), null, "good")));
            for (int times = 0; times < 2; times++) {
                ask(
                        gateway,
                        Gateways.message(
                                ++id, "order", Gateways.params(rid(id), token, "call DONE")));
            }
            ask(gateway, Gateways.message(++id, "order", Gateways.params(rid(id), token, "other")));
            ask(gateway, Gateways.message(++id, "unknown", "{}"));
        }
        gateway.send(Gateways.message(++id, "read", Gateways.params(rid(id), null, "wait")));
        gateway.send("{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":" + id + "}}\n");
        ask(gateway, Gateways.message(++id, "ping", "{}"));
        try (Wire other = new Wire(new Socket(HOST, server))) {
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

    private static void ask(Wire gateway, String message) throws IOException {
        gateway.send(message).line();
    }

    private static Wire dial(int port) throws Exception {
        for (int tries = 0; ; tries++) {
            try {
                return new Wire(new Socket(HOST, port));
            } catch (IOException e) {
                if (tries > 100) {
                    throw e;
                }
                Thread.sleep(50);
            }
        }
    }
}
