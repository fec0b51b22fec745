package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A records service as the protocol page describes it: each call takes 30 ms and goes well. */
final class CallService implements AutoCloseable {
    private static final long CALL_MILLIS = 30;

    private final Record record;
    private final ServerSocket listener;

    CallService(Record record) throws IOException {
        this.record = record;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Processor.daemon(this::accept).start();
    }

    /** Returns the reply to a call, which names it. */
    static String replyTo(String call) {
        return "reply to " + call;
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket next = listener.accept();
                next.setTcpNoDelay(true);
                Processor.daemon(() -> serve(next)).start();
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setSoTimeout(10_000); // closed after it stands idle for 10 s
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line = Lines.read(in); line != null; line = Lines.read(in)) {
                String[] words = line.split(" ");
                if (!words[0].equals("OP")) {
                    record.add("records: the call of " + words[1] + " is given up");
                    continue;
                }
                byte[] body = Lines.body(in, Integer.parseInt(words[3]));
                String call = new String(body, StandardCharsets.ISO_8859_1);
                record.add("records: " + call + " runs");
                TimeUnit.MILLISECONDS.sleep(CALL_MILLIS);
                byte[] reply = replyTo(call).getBytes(StandardCharsets.ISO_8859_1);
                socket.getOutputStream().write(Lines.message(words[1] + " DONE " + reply.length, reply));
            }
        } catch (IOException e) {
            // the connection ended
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
