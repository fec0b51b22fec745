package review;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A uwsgi worker that carries out each request and answers it with 200. */
final class Worker implements AutoCloseable {
    private final String name;
    private final Record record;
    private final ServerSocket listener;
    private final List<String> carriedOut = new ArrayList<>();

    Worker(String name, Record record) throws IOException {
        this.name = name;
        this.record = record;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Processor.daemon(this::accept).start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the bodies of all requests that were carried out here. */
    synchronized List<String> carriedOut() {
        return List.copyOf(carriedOut);
    }

    private void accept() {
        try {
            while (true) {
                Socket next = listener.accept();
                Processor.daemon(() -> serve(next)).start();
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readUnsignedByte(); // modifier 1
            int length = in.readUnsignedByte() | in.readUnsignedByte() << 8;
            in.readUnsignedByte(); // modifier 2
            Map<String, String> variables = variables(in.readNBytes(length));
            byte[] body = in.readNBytes(Integer.parseInt(variables.getOrDefault("CONTENT_LENGTH", "0")));
            String order = new String(body, StandardCharsets.ISO_8859_1);
            synchronized (this) {
                carriedOut.add(order);
            }
            record.add("worker " + name + " CARRIES OUT '" + order + "'");
            byte[] result = (order + " made by worker " + name).getBytes(StandardCharsets.ISO_8859_1);
            socket.getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nContent-Length: " + result.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(result);
            socket.shutdownOutput();
            in.read();
        } catch (IOException e) {
            // the server has gone
        }
    }

    private static Map<String, String> variables(byte[] block) {
        Map<String, String> variables = new HashMap<>();
        for (int at = 0; at < block.length; ) {
            int nameLength = length(block, at);
            String name = new String(block, at + 2, nameLength, StandardCharsets.ISO_8859_1);
            at += 2 + nameLength;
            int valueLength = length(block, at);
            variables.put(name, new String(block, at + 2, valueLength, StandardCharsets.ISO_8859_1));
            at += 2 + valueLength;
        }
        return variables;
    }

    private static int length(byte[] block, int at) {
        return block[at] & 0xFF | (block[at + 1] & 0xFF) << 8;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
