package review2;

import java.io.IOException;
import java.net.Socket;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One connection of a gateway, after the protocol page. */
final class Gateway {
    private static final Pattern ID = Pattern.compile("\"id\":(\\d+)");
    private static final Pattern DATA = Pattern.compile("\"data\":\"([^\"]*)\"");
    private final Wire wire;
    private final int peer;
    private final Map<Long, Harness.Request> open = new ConcurrentHashMap<>();
    private final Map<Harness.Request, Long> numbers = new ConcurrentHashMap<>();
    private long lastId;
    /** When the connection ended, as this side saw it; negative while it is open. */
    volatile long endedAt = -1;
    /** Whether the server has asked for no new request on this connection. */
    volatile boolean leaving;

    Gateway(int port, int peer) throws IOException {
        wire = new Wire(new Socket(Harness.HOST, port));
        this.peer = peer;
        Harness.daemon(this::read);
    }

    /** Writes one try of a request. */
    synchronized Harness.Request send(String operation, String token, String body, String label)
            throws IOException {
        Harness.Request request = new Harness.Request(operation, token, body);
        request.label = label;
        long id = ++lastId;
        open.put(id, request);
        numbers.put(request, id);
        request.t0 = System.currentTimeMillis();
        String key = token == null ? "" : ",\"token\":\"" + token + "\"";
        String data = Base64.getEncoder().encodeToString(Harness.bytes(body));
        Harness.record("gateway " + peer + " sends " + label + ", rid " + request.rid);
        wire.send(
                "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"" + operation
                        + "\",\"params\":{\"rid\":\"" + request.rid + "\",\"t0\":" + request.t0
                        + ",\"peer\":" + peer + ",\"mem\":24.5,\"prio\":0.5" + key
                        + ",\"data\":\"" + data + "\"}}\n");
        request.writtenAt = Harness.millis();
        return request;
    }

    /** Tells the server that the gateway has stopped waiting for a try. */
    synchronized void abort(Harness.Request request) throws IOException {
        request.givenUp = true;
        Long id = numbers.get(request);
        Harness.record("gateway " + peer + " gives up " + request.label);
        wire.send(
                "{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":" + id + "}}\n");
    }

    /** Writes text as it is. */
    void sendRaw(String text) throws IOException {
        wire.send(text);
    }

    void close() throws IOException {
        wire.socket.close();
    }

    /** Resets the connection, so that an answer on its way is lost. */
    void reset() throws IOException {
        wire.socket.setSoLinger(true, 0);
        wire.socket.close();
    }

    private void read() {
        try {
            for (String line = wire.line(); line != null; line = wire.line()) {
                answer(line);
            }
        } catch (IOException e) {
            // the connection ended
        }
        endedAt = Harness.millis();
    }

    private void answer(String line) {
        Matcher id = ID.matcher(line);
        Harness.Request request =
                id.find() ? open.remove(Long.valueOf(id.group(1))) : null;
        if (line.contains("\"method\":\"shutdown\"")) {
            leaving = true;
        }
        if (request == null) {
            Harness.record("gateway " + peer + " reads " + line);
            return;
        }
        Matcher data = DATA.matcher(line);
        String text;
        if (line.contains("\"result\"") && data.find()) {
            text = "served " + new String(Base64.getDecoder().decode(data.group(1)));
        } else if (line.contains("\"code\":-32014")) {
            text = "refused";
        } else {
            text = "failed " + line;
        }
        request.answeredAt = Harness.millis();
        request.answer = text;
        Harness.record("gateway " + peer + " gets for " + request.label + ": " + text);
    }
}
