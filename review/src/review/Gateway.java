package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One connection of a gateway to the server. */
final class Gateway implements AutoCloseable {
    private static final Pattern ID = Pattern.compile("\"id\":(\\d+)");
    private static final Pattern CODE = Pattern.compile("\"code\":(-?\\d+)");
    private static final Pattern DATA = Pattern.compile("\"data\":\"([^\"]*)\"");

    /** How a try was answered. */
    record Answer(boolean isResult, int code, byte[] result, String line) {
        boolean isRefusal() {
            return code == -32014;
        }

        String text() {
            return isResult
                    ? "result '" + new String(result) + "'"
                    : isRefusal() ? "refused (-32014): " + line : "error: " + line;
        }
    }

    final int number;
    private final World world;
    private final Record record;
    private final Socket socket;
    private final Consumer<World.Try> onOver;
    private final Map<Long, CompletableFuture<Answer>> open = new ConcurrentHashMap<>();
    private final Map<Long, World.Try> tries = new HashMap<>();
    private long lastId;
    private volatile boolean isClosed;

    Gateway(int number, int port, World world, Record record, Consumer<World.Try> onOver)
            throws IOException {
        this.number = number;
        this.world = world;
        this.record = record;
        this.onOver = onOver;
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        Processor.daemon(this::readAnswers).start();
    }

    private void readAnswers() {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line = Lines.read(in); line != null; line = Lines.read(in)) {
                onLine(line);
            }
        } catch (IOException e) {
            // closed
        }
        isClosed = true;
        open.values().forEach(each -> each.complete(new Answer(false, 0, null, "connection ended")));
    }

    private void onLine(String line) {
        Matcher id = ID.matcher(line);
        if (!id.find()) {
            record.add("gateway " + number + " <- " + line);
            return;
        }
        long number = Long.parseLong(id.group(1));
        Matcher code = CODE.matcher(line);
        Matcher data = DATA.matcher(line);
        boolean isResult = line.contains("\"result\"");
        Answer answer =
                new Answer(
                        isResult,
                        code.find() ? Integer.parseInt(code.group(1)) : 0,
                        isResult && data.find() ? Base64.getDecoder().decode(data.group(1)) : new byte[0],
                        line);
        World.Try answered;
        synchronized (this) {
            answered = tries.remove(number);
        }
        if (answered != null) {
            answered.isOver = true;
            record.add("gateway " + this.number + " <- " + answered.name + ": " + answer.text());
            onOver.accept(answered);
        }
        CompletableFuture<Answer> waiting = open.remove(number);
        if (waiting != null) {
            waiting.complete(answer);
        }
    }

    /** Writes a try, and returns its answer to come. */
    synchronized CompletableFuture<Answer> send(World.Try request, double memKb) throws IOException {
        long id = ++lastId;
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        open.put(id, answer);
        tries.put(id, request);
        world.add(request);
        String line =
                "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"" + request.operation
                        + "\",\"params\":{\"rid\":\"" + request.rid
                        + "\",\"t0\":" + System.currentTimeMillis()
                        + ",\"peer\":" + number + ",\"mem\":" + memKb + ",\"prio\":0.5000"
                        + (request.token == null ? "" : ",\"token\":\"" + request.token + "\"")
                        + ",\"data\":\"" + Base64.getEncoder().encodeToString(request.body)
                        + "\"}}\n";
        record.add("gateway " + number + " -> " + request.name + " (" + request.operation
                + ", rid " + request.rid + (request.token == null ? "" : ", token " + request.token) + ")");
        write(line);
        return answer;
    }

    /** Stops to wait for the try that was written last. */
    synchronized void abortLast() throws IOException {
        long id = lastId;
        World.Try request = tries.remove(id);
        open.remove(id);
        if (request != null) {
            request.isOver = true;
            record.add("gateway " + number + " -> abort of " + request.name);
            onOver.accept(request);
        }
        write("{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"id\":" + id + "}}\n");
    }

    /** Stops to wait for the try that was written last, and tells the server nothing. */
    synchronized void giveUpLast() {
        long id = lastId;
        World.Try request = tries.remove(id);
        open.remove(id);
        if (request != null) {
            request.isOver = true;
            record.add("gateway " + number + " gives " + request.name + " up, untold");
            onOver.accept(request);
        }
    }

    /** Sends a health check, and returns its answer to come. */
    synchronized CompletableFuture<Answer> ping() throws IOException {
        long id = ++lastId;
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        open.put(id, answer);
        write("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"ping\",\"params\":{}}\n");
        return answer;
    }

    private void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    boolean isClosed() {
        return isClosed;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
