package ochretiller.fakes;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A uwsgi worker that does what it is told and notes what it ran. Its reading of the protocol is
 * its own, from the published page, so that it finds what the server's own coding gets wrong.
 */
public final class FakeWorker implements AutoCloseable {
    /** What it does with a request, once it has run it. */
    public enum Manner {
        ANSWERS,
        FAILS,
        SILENT,
        HALF,
        RESETS,
        GARBAGE,
        WRONG_LENGTH,
        TOO_LONG,
        ENDS
    }

    /** A request that it ran. */
    public record Ran(Map<String, String> vars, String body) {}

    /** Chooses a manner for a request, after as long a wait as it likes. */
    @FunctionalInterface
    public interface Script {
        Manner play(Ran ran) throws InterruptedException;
    }

    private final InetAddress host;
    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Ran> ran = new ArrayList<>();
    private volatile ServerSocket listening;
    public volatile Script script;

    /** A worker on this port, or on a free one for 0. */
    public FakeWorker(String host, int port, Script script) throws IOException {
        this.host = InetAddress.getByName(host);
        this.script = script;
        listening = listen(port);
        this.port = listening.getLocalPort();
    }

    private ServerSocket listen(int on) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(host, on), 200);
        DaemonThreads.start(
                () -> {
                    while (true) {
                        Socket accepted = socket.accept();
                        sockets.add(accepted);
                        DaemonThreads.start(() -> serve(accepted));
                    }
                });
        return socket;
    }

    public int port() {
        return port;
    }

    public synchronized List<Ran> ran() {
        return List.copyOf(ran);
    }

    private synchronized void note(Ran one) {
        ran.add(one);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] header = new byte[4];
            in.readFully(header);
            if (header[0] != 0 || header[3] != 0) {
                throw new IOException("modifiers " + header[0] + ' ' + header[3]);
            }
            byte[] block = new byte[header[1] & 0xFF | (header[2] & 0xFF) << 8];
            in.readFully(block);
            Map<String, String> vars = new LinkedHashMap<>();
            for (int at = 0; at < block.length; ) {
                int name = block[at] & 0xFF | (block[at + 1] & 0xFF) << 8;
                String key = new String(block, at + 2, name, StandardCharsets.ISO_8859_1);
                at += 2 + name;
                int value = block[at] & 0xFF | (block[at + 1] & 0xFF) << 8;
                vars.put(key, new String(block, at + 2, value, StandardCharsets.ISO_8859_1));
                at += 2 + value;
            }
            byte[] body = new byte[Integer.parseInt(vars.getOrDefault("CONTENT_LENGTH", "0"))];
            in.readFully(body);
            Ran one = new Ran(vars, new String(body, StandardCharsets.ISO_8859_1));
            note(one);
            answer(script.play(one), one, socket, out);
        } finally {
            sockets.remove(socket);
        }
    }

    private static void answer(Manner manner, Ran one, Socket socket, OutputStream out)
            throws IOException {
        String result = "result of " + one.body;
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: ";
        switch (manner) {
            case ANSWERS -> say(out, head + result.length() + "\r\n\r\n" + result);
            case FAILS ->
                    say(out, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad");
            case SILENT -> socket.getInputStream().read(); // until the caller has enough
            case HALF ->
                    say(
                            out,
                            head
                                    + result.length()
                                    + "\r\n\r\n"
                                    + result.substring(0, result.length() / 2));
            case RESETS -> socket.setSoLinger(true, 0);
            case GARBAGE -> say(out, "\u0000\u0001 no answer at all\r\n\r\n");
            case WRONG_LENGTH -> say(out, head + (result.length() - 1) + "\r\n\r\n" + result);
            case TOO_LONG -> say(out, head + "99999999\r\n\r\n" + result);
            case ENDS -> {} // the connection ends without a word
            default -> throw new IllegalStateException();
        }
    }

    private static void say(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** It dies: nothing is accepted, and what is open is reset. */
    public void die() throws IOException {
        listening.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** It is back at its port. */
    public void rise() throws IOException {
        listening = listen(port);
    }

    @Override
    public void close() throws IOException {
        die();
    }
}
