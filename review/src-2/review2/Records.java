package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A records service after the protocol page. The reply to a call is "reply to" and the call's body.
 * It can send a second copy of a reply some time after the first.
 */
final class Records {
    private final ServerSocket socket;
    /** Time that a call takes. */
    volatile long workMs = 20;
    /** Time from a reply to its second copy; negative for none. */
    volatile long copyAfterMs = -1;
    /** The next replies that get a second copy. */
    volatile int copiesLeft;
    /** All calls that ran, as "ID BODY". */
    final List<String> ran = Collections.synchronizedList(new ArrayList<>());

    Records() throws IOException {
        socket = new ServerSocket(0, 50, InetAddress.getByName(Harness.HOST));
        Harness.daemon(
                () -> {
                    while (true) {
                        try {
                            Wire wire = new Wire(socket.accept());
                            Harness.daemon(() -> serve(wire));
                        } catch (IOException e) {
                            return;
                        }
                    }
                });
    }

    int port() {
        return socket.getLocalPort();
    }

    private void serve(Wire wire) {
        try {
            for (String line = wire.line(); line != null; line = wire.line()) {
                String[] words = line.split(" ");
                if (words[0].equals("OP")) {
                    String body = wire.body(Integer.parseInt(words[3]));
                    Harness.daemon(() -> call(wire, words[1], body));
                }
            }
        } catch (IOException e) {
            // the connection ended
        }
    }

    private synchronized boolean takeCopy() {
        if (copiesLeft <= 0) {
            return false;
        }
        copiesLeft--;
        return true;
    }

    private void call(Wire wire, String rid, String body) {
        String answer = "reply to " + body;
        String text = rid + " DONE " + answer.length() + "\r\n" + answer + "\r\n";
        try {
            Thread.sleep(workMs);
            ran.add(rid + " " + body);
            Harness.record("records replies to " + rid + " " + body);
            wire.send(text);
            if (takeCopy()) {
                Thread.sleep(copyAfterMs);
                Harness.record("records sends a second copy of the reply to " + rid + " " + body);
                wire.send(text);
            }
        } catch (IOException | InterruptedException e) {
            Harness.record("records: the connection of " + rid + " ended");
        }
    }
}
