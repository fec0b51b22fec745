package ochretiller.tools;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import ochretiller.uwsgi.UwsgiRequest;
import ochretiller.uwsgi.UwsgiResponse;
import ochretiller.uwsgi.UwsgiResponseDecoder;

/** Sends uwsgi requests over a new connection each, as front ends do. */
final class UwsgiClient implements ProtocolClient {
    /** Longer than any client timeout in the configuration of the measured server. */
    private static final int READ_TIMEOUT_MS = 8_000;

    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final int port;
    private final String remoteAddress;
    private final ThreadPoolExecutor executor;
    private final LongAdder unexpectedAnswerCount = new LongAdder();

    /**
     * Creates a client without connections.
     *
     * @param maxConcurrent requests in progress at a time; as many more wait in a queue
     */
    UwsgiClient(int port, int maxConcurrent, String remoteAddress) {
        this.port = port;
        this.remoteAddress = remoteAddress;
        executor =
                new ThreadPoolExecutor(
                        maxConcurrent,
                        maxConcurrent,
                        5,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(maxConcurrent),
                        task -> {
                            Thread thread = new Thread(task);
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.allowCoreThreadTimeOut(true);
    }

    @Override
    public void send(MeasuredRequest request) throws IOException {
        try {
            executor.execute(() -> exchange(request));
        } catch (RejectedExecutionException e) {
            throw new IOException(
                    "all threads are busy and the queue is full: the server cannot keep up");
        }
    }

    private void exchange(MeasuredRequest request) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            byte[] body =
                    (request.token == null ? "load" : request.token)
                            .getBytes(StandardCharsets.ISO_8859_1);
            Map<String, String> vars = new LinkedHashMap<>();
            vars.put("REQUEST_METHOD", request.token == null ? "GET" : "POST");
            vars.put("PATH_INFO", request.token == null ? "/parts/7" : "/orders");
            vars.put("CONTENT_LENGTH", "" + body.length);
            vars.put("REMOTE_ADDR", remoteAddress);
            if (request.token != null) {
                vars.put("HTTP_IDEMPOTENCY_KEY", request.token);
            }
            request.sentNanos = System.nanoTime();
            for (byte[] part : new UwsgiRequest(vars, body, false).encode()) {
                socket.getOutputStream().write(part);
            }
            if (request.disconnectsEarly) {
                request.end(MeasuredRequest.Outcome.ABANDONED);
                return;
            }
            request.end(readOutcome(socket.getInputStream()));
        } catch (IOException e) {
            request.end(MeasuredRequest.Outcome.UNANSWERED);
        }
    }

    private MeasuredRequest.Outcome readOutcome(InputStream in) throws IOException {
        UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(MAX_BODY_BYTES);
        byte[] buffer = new byte[4_096];
        UwsgiResponse response = null;
        try {
            for (int count = in.read(buffer); count > 0 && response == null; ) {
                response = decoder.decode(buffer, 0, count);
                if (response == null) {
                    count = in.read(buffer);
                }
            }
        } catch (SocketTimeoutException | SocketException e) {
            return MeasuredRequest.Outcome.UNANSWERED;
        }
        if (response == null) {
            return MeasuredRequest.Outcome.UNANSWERED;
        }
        if (in.read() >= 0) {
            unexpectedAnswerCount.increment();
        }
        return response.status() == 200
                ? MeasuredRequest.Outcome.SUCCEEDED
                : response.status() == 503
                        ? MeasuredRequest.Outcome.THROTTLED
                        : MeasuredRequest.Outcome.ERRORED;
    }

    @Override
    public long unexpectedAnswers() {
        return unexpectedAnswerCount.sum();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
