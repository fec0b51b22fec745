import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A processor, a records service and one gateway for a server that is only started to keep its loaded classes: every
 * kind of message goes over each of its connections once or a few times. Arguments: the ports of the three.
 */
final class Rehearsal {
    private static final String HOST = "127.77.0.1";
    private static final int ROUNDS = 12;
    private static int notices;

    public static void main(String[] ports) throws Exception {
        stand(Integer.parseInt(ports[0]), Rehearsal::process);
        stand(Integer.parseInt(ports[1]), Rehearsal::record);
        Socket socket = new Socket();
        for (int tries = 0; !socket.isConnected(); tries++) {
            try {
                socket = new Socket(HOST, Integer.parseInt(ports[2]));
            } catch (IOException e) {
                if (tries > 100) throw e;
                Thread.sleep(50);
            }
        }
        socket.setSoTimeout(3_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        int id = 0;
        for (boolean good = false; !good;) {
            say(out, message(++id, "ping", "{\"full\":true}"));
            good = line(in).contains("true");
        }
        for (int round = 0; round < ROUNDS; round++) {
            String token = String.format("%032x", round);
            say(out, message(++id, "read", params(id, "", "Z29vZA==")));
            line(in);
            for (int times = 0; times < 2; times++) {
                say(out, message(++id, "order", params(id, ",\"token\":\"" + token + "\"", "Y2FsbA==")));
                line(in);
            }
            say(out, message(++id, "order", params(id, ",\"token\":\"" + token + "\"", "b3RoZXI=")));
            line(in);
            say(out, message(++id, "unknown", "{}"));
            line(in);
        }
        say(out, message(++id, "read", params(id, "", "d2FpdA==")));
        say(out, "{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":" + id + "}}\n");
        say(out, message(++id, "ping", "{}"));
        line(in);
        try (Socket other = new Socket(HOST, Integer.parseInt(ports[2]))) {
            say(other.getOutputStream(), "not JSON\n");
            if (other.getInputStream().read() >= 0) throw new IOException("bad input was answered");
        }
        socket.close();
    }

    private static String message(int id, String method, String params) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"" + method + "\",\"params\":" + params + "}\n";
    }

    private static String params(int id, String more, String data) {
        return "{\"rid\":\"" + String.format("%016x", id) + "\",\"t0\":" + System.currentTimeMillis()
            + ",\"peer\":1,\"mem\":24.5,\"prio\":0.5" + more + ",\"data\":\"" + data + "\"}";
    }

    private interface Side {
        void serve(InputStream in, OutputStream out) throws IOException;
    }

    private static void stand(int port, Side side) throws IOException {
        ServerSocket listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(InetAddress.getByName(HOST), port));
        daemon(() -> {
            while (true) {
                Socket socket = listening.accept();
                daemon(() -> side.serve(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream()));
            }
        });
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // its connection has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void process(InputStream in, OutputStream out) throws IOException {
        while (true) {
            String[] words = line(in).split(" ");
            switch (words[0]) {
                case "hello" -> say(out, "hi hot 3600000\r\n");
                case "usage" -> say(out, "used " + words[1] + " 0.5 1 0.1 1\r\n");
                case "trial" -> say(out, "tried " + words[1] + " complete\r\n");
                case "begin" -> {
                    String body = body(in, words[3]);
                    if (body.equals("call")) say(out, "ask " + ++notices + ' ' + words[1] + " 4\r\nwhat\r\n");
                    else if (body.equals("good")) complete(out, words[1], "complete");
                }
                case "answer" -> {
                    body(in, words[2]);
                    complete(out, words[1], "complete");
                }
                case "interrupt" -> complete(out, words[1], "cancelled");
                default -> throw new IOException("unknown command " + words[0]);
            }
        }
    }

    private static void complete(OutputStream out, String rid, String how) throws IOException {
        say(out, "complete " + ++notices + ' ' + rid + ' ' + how + " 5.5 4\r\ndone\r\n");
    }

    private static void record(InputStream in, OutputStream out) throws IOException {
        while (true) {
            String[] words = line(in).split(" ");
            if (words[0].equals("OP")) {
                body(in, words[3]);
                say(out, words[1] + " DONE 5\r\nreply\r\n");
            }
        }
    }

    private static void say(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String body(InputStream in, String length) throws IOException {
        String text = new String(in.readNBytes(Integer.parseInt(length)), StandardCharsets.ISO_8859_1);
        in.readNBytes(2);
        return text;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) throw new IOException("the connection has ended");
            if (c != '\r') line.append((char) c);
        }
        return line.toString();
    }
}
