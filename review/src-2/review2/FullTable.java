package review2;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * An order ran and its answer was lost with its connection. Other clients hold the table of
 * connections meanwhile: each sent a good health check and then a message that never ends.
 */
final class FullTable {
    private static final int SOCKETS = 384;
    private static final int OTHERS = 230;

    private FullTable() {}

    public static void main(String[] arguments) throws Exception {
        Harness.main(arguments[0], FullTable::play);
    }

    private static int play() throws Exception {
        Processor processor = new Processor();
        int port = Harness.freePort();
        String config =
                Site.config(
                        "n1", port, processor.port(), 0, Harness.startRoster(), SOCKETS, 2,
                        Site.etnaOperations(), "false,false,false");
        Harness.startServer("n1", port, config, null);
        Thread.sleep(1_500);
        Gateway first = new Gateway(port, 1);
        String token = Harness.hex(32);
        Harness.Request ran = first.send("place-order", token, "one order", "order, try 1");
        Thread.sleep(150);
        first.reset(); // the answer, some 50 ms later, is lost with the connection
        ran.givenUp = true;
        Harness.record("the gateway's connection is reset before the answer comes");
        Thread.sleep(500);
        List<Socket> others = new ArrayList<>();
        if (Harness.TROUBLE) {
            for (int i = 0; i < OTHERS; i++) {
                Socket socket = new Socket(Harness.HOST, port);
                socket.getOutputStream()
                        .write(
                                Harness.bytes(
                                        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\","
                                                + "\"params\":{}}\n{\"jsonrpc\":\"2.0\",\"id\":2,"));
                others.add(socket);
                Thread.sleep(5);
            }
            Harness.record(others.size() + " other clients have sent a check and half a message");
        }
        Gateway second = new Gateway(port, 1);
        Harness.Request again = second.send("place-order", token, "one order", "order, try 2");
        Thread.sleep(2_000);
        Harness.recordLog("n1");
        Harness.record("runs: " + processor.begun);
        boolean turnedAway = "refused".equals(again.answer) && processor.begun.contains(ran.rid);
        if (turnedAway) {
            Harness.record("TURNED AWAY: the order has run, and its repeat is refused");
        }
        return turnedAway ? Harness.BROKEN : Harness.HELD;
    }
}
