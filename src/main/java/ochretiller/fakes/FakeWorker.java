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
 * A fake uwsgi worker that records each request and responds as a script decides. It has a decoder
 * of its own, written from the published specification, to detect faults of the server's encoder.
 */
public final class FakeWorker implements AutoCloseable {
    /** How the worker responds to a request. */
    public enum ResponseMode {
        /** Status 200 with a result. */
        ANSWERS,
        /** Status 500. */
        FAILS,
        /** No response; the connection stays open until the server closes it. */
        SILENT,
        /** Half of a body, then the end of the connection. */
        HALF,
        /** A TCP reset without a response. */
        RESETS,
        /** Bytes that are not a response. */
        GARBAGE,
        /** A content length that is one byte too small. */
        WRONG_LENGTH,
        /** A content length over the limit of the server. */
        TOO_LONG,
        /** The end of the connection without a response. */
        ENDS
    }

    /** A request that the worker has received, with its variables by name. */
    public record ReceivedRequest(Map<String, String> vars, String body) {}

    /** Selects how to respond to a request; may block, which delays the response. */
    @FunctionalInterface
    public interface Script {
        /** Returns how to respond; called on the thread of the connection. */
        ResponseMode selectResponse(ReceivedRequest request) throws InterruptedException;
    }

    private final InetAddress host;
    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<ReceivedRequest> receivedRequests = new ArrayList<>();
    private volatile ServerSocket listener;

    /** Selects the responses; a replacement applies to requests that arrive later. */
    public volatile Script script;

    /** Starts a worker on a port; 0 selects a free one. */
    public FakeWorker(String host, int port, Script script) throws IOException {
        this.host = InetAddress.getByName(host);
        this.script = script;
        listener = listen(port);
        this.port = listener.getLocalPort();
    }

    private ServerSocket listen(int listenPort) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(host, listenPort), 200);
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

    /** Returns the TCP port, which stays the same after {@link #restart}. */
    public int port() {
        return port;
    }

    /** Returns a copy of the requests in the order in which they were received. */
    public synchronized List<ReceivedRequest> requests() {
        return List.copyOf(receivedRequests);
    }

    private synchronized void addRequest(ReceivedRequest request) {
        receivedRequests.add(request);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] header = new byte[4];
            in.readFully(header);
            if (header[0] != 0 || header[3] != 0) {
                throw new IOException(
                        "expected uwsgi modifiers 0 0, got " + header[0] + ' ' + header[3]);
            }
            byte[] block = new byte[header[1] & 0xFF | (header[2] & 0xFF) << 8];
            in.readFully(block);
            Map<String, String> vars = new LinkedHashMap<>();
            for (int offset = 0; offset < block.length; ) {
                int nameLength = block[offset] & 0xFF | (block[offset + 1] & 0xFF) << 8;
                String name =
                        new String(block, offset + 2, nameLength, StandardCharsets.ISO_8859_1);
                offset += 2 + nameLength;
                int valueLength = block[offset] & 0xFF | (block[offset + 1] & 0xFF) << 8;
                vars.put(
                        name,
                        new String(block, offset + 2, valueLength, StandardCharsets.ISO_8859_1));
                offset += 2 + valueLength;
            }
            byte[] body = new byte[Integer.parseInt(vars.getOrDefault("CONTENT_LENGTH", "0"))];
            in.readFully(body);
            ReceivedRequest request =
                    new ReceivedRequest(vars, new String(body, StandardCharsets.ISO_8859_1));
            addRequest(request);
            respond(script.selectResponse(request), request, socket, out);
        } finally {
            sockets.remove(socket);
        }
    }

    private static void respond(
            ResponseMode mode, ReceivedRequest request, Socket socket, OutputStream out)
            throws IOException {
        String result = "result of " + request.body;
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: ";
        switch (mode) {
            case ANSWERS -> write(out, head + result.length() + "\r\n\r\n" + result);
            case FAILS ->
                    write(
                            out,
                            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad");
            case SILENT -> socket.getInputStream().read(); // until the server closes the connection
            case HALF ->
                    write(
                            out,
                            head
                                    + result.length()
                                    + "\r\n\r\n"
                                    + result.substring(0, result.length() / 2));
            case RESETS -> socket.setSoLinger(true, 0);
            case GARBAGE -> write(out, "\u0000\u0001 no answer at all\r\n\r\n");
            case WRONG_LENGTH -> write(out, head + (result.length() - 1) + "\r\n\r\n" + result);
            case TOO_LONG -> write(out, head + "99999999\r\n\r\n" + result);
            case ENDS -> {} // the connection is closed without a response
            default -> throw new IllegalStateException();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Stops listening and resets all open connections, as a killed process does. */
    public void kill() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Listens on the same port again. */
    public void restart() throws IOException {
        listener = listen(port);
    }

    @Override
    public void close() throws IOException {
        kill();
    }
}
