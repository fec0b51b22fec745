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

/** uwsgi with a connection for each request, as front ends send it. */
final class UwsgiClient implements ProtocolClient {
    /** Longer than any client timeout of the load's configuration. */
    private static final int TIMEOUT_MS = 8_000;

    private static final int LONGEST = 64 * 1024;

    private final int port;
    private final String caller;
    private final ThreadPoolExecutor threads;
    private final LongAdder surplus = new LongAdder();

    /**
     * A side without connections yet.
     *
     * @param most requests at once
     */
    UwsgiClient(int port, int most, String caller) {
        this.port = port;
        this.caller = caller;
        threads =
                new ThreadPoolExecutor(
                        most,
                        most,
                        5,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(most),
                        work -> {
                            Thread thread = new Thread(work);
                            thread.setDaemon(true);
                            return thread;
                        });
        threads.allowCoreThreadTimeOut(true);
    }

    @Override
    public void send(MeasuredRequest ask) throws IOException {
        try {
            threads.execute(() -> ask(ask));
        } catch (RejectedExecutionException e) {
            throw new IOException("as many requests as allowed are open: the server is far behind");
        }
    }

    private void ask(MeasuredRequest ask) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TIMEOUT_MS);
            byte[] body =
                    (ask.token == null ? "load" : ask.token).getBytes(StandardCharsets.ISO_8859_1);
            Map<String, String> vars = new LinkedHashMap<>();
            vars.put("REQUEST_METHOD", ask.token == null ? "GET" : "POST");
            vars.put("PATH_INFO", ask.token == null ? "/parts/7" : "/orders");
            vars.put("CONTENT_LENGTH", "" + body.length);
            vars.put("REMOTE_ADDR", caller);
            if (ask.token != null) {
                vars.put("HTTP_IDEMPOTENCY_KEY", ask.token);
            }
            ask.sentAt = System.nanoTime();
            for (byte[] part : new UwsgiRequest(vars, body, false).encode()) {
                socket.getOutputStream().write(part);
            }
            if (ask.vanishes) {
                ask.ends(MeasuredRequest.Outcome.VANISHED);
                return;
            }
            ask.ends(answer(socket.getInputStream()));
        } catch (IOException e) {
            ask.ends(MeasuredRequest.Outcome.NONE);
        }
    }

    private MeasuredRequest.Outcome answer(InputStream in) throws IOException {
        UwsgiResponseDecoder decoder = new UwsgiResponseDecoder(LONGEST);
        byte[] buffer = new byte[4_096];
        UwsgiResponse answer = null;
        try {
            for (int got = in.read(buffer); got > 0 && answer == null; ) {
                answer = decoder.read(buffer, 0, got);
                if (answer == null) {
                    got = in.read(buffer);
                }
            }
        } catch (SocketTimeoutException | SocketException e) {
            return MeasuredRequest.Outcome.NONE;
        }
        if (answer == null) {
            return MeasuredRequest.Outcome.NONE;
        }
        if (in.read() >= 0) {
            surplus.increment();
        }
        return answer.status() == 200
                ? MeasuredRequest.Outcome.SUCCEEDED
                : answer.status() == 503
                        ? MeasuredRequest.Outcome.THROTTLED
                        : MeasuredRequest.Outcome.ERRORED;
    }

    @Override
    public long surplus() {
        return surplus.sum();
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
