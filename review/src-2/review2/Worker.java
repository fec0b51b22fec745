package review2;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A uwsgi worker in a process of its own: one request at a time, a short backlog. It prints one line
 * for each request that it runs: its idempotency key, request id and body.
 */
final class Worker {
    private static final int BACKLOG = 1;

    private Worker() {}

    /** Arguments: the port and the work of a request in ms. */
    public static void main(String[] arguments) throws Exception {
        int port = Integer.parseInt(arguments[0]);
        long workMs = Long.parseLong(arguments[1]);
        try (ServerSocket listener =
                new ServerSocket(port, BACKLOG, InetAddress.getByName(Harness.HOST))) {
            System.out.println("ready");
            while (true) {
                try (Socket socket = listener.accept()) {
                    serve(socket, workMs);
                } catch (IOException e) {
                    // the server gave the connection up before it was taken
                }
            }
        }
    }

    private static void serve(Socket socket, long workMs) throws Exception {
        socket.setSoTimeout(500);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] header = in.readNBytes(4);
        if (header.length < 4) {
            return; // nothing was asked
        }
        byte[] block = in.readNBytes((header[1] & 0xFF) | (header[2] & 0xFF) << 8);
        String key = "";
        String rid = "";
        int length = 0;
        for (int at = 0; at < block.length; ) {
            int nameLength = (block[at] & 0xFF) | (block[at + 1] & 0xFF) << 8;
            String name = new String(block, at + 2, nameLength, StandardCharsets.ISO_8859_1);
            at += 2 + nameLength;
            int valueLength = (block[at] & 0xFF) | (block[at + 1] & 0xFF) << 8;
            String value = new String(block, at + 2, valueLength, StandardCharsets.ISO_8859_1);
            at += 2 + valueLength;
            switch (name) {
                case "HTTP_IDEMPOTENCY_KEY" -> key = value;
                case "HTTP_X_REQUEST_ID" -> rid = value;
                case "CONTENT_LENGTH" -> length = Integer.parseInt(value);
                default -> {}
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return; // half a request
        }
        System.out.println(
                "runs key=" + key + " rid=" + rid + " body="
                        + new String(body, StandardCharsets.ISO_8859_1));
        Thread.sleep(workMs);
        String result = "result of " + rid;
        OutputStream out = socket.getOutputStream();
        out.write(
                Harness.bytes(
                        "HTTP/1.1 200 OK\r\nContent-Length: " + result.length() + "\r\n\r\n"
                                + result));
        out.flush();
    }
}
