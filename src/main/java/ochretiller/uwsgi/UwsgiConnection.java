package ochretiller.uwsgi;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import ochretiller.frontend.ClientConnection;
import ochretiller.frontend.ClientConnections;
import ochretiller.frontend.FailureReason;
import ochretiller.frontend.RequestAttempt;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;

/**
 * One connection from a web server. The protocol sends one request per connection; if more arrive,
 * they are answered in order, because a response does not identify its request.
 */
final class UwsgiConnection extends ClientConnection {
    /** Requests that may wait while an earlier one is served; a peer that sends more is dropped. */
    private static final int MAX_WAITING_REQUESTS = 32;

    private final UwsgiFrontend frontend;
    private final UwsgiRequestDecoder decoder =
            new UwsgiRequestDecoder(UwsgiFrontend.MAX_BODY_BYTES);
    private final Queue<Input> waitingInputs = new ArrayDeque<>();

    /** The memory that {@link #waitingInputs} take. */
    private long waitingBytes;

    /** Set when malformed input was received or input was discarded. */
    private boolean isDecodingStopped;

    private long lastRequestNumber;
    private boolean hasAnswered;

    /** The result of decoding: a request, or the violation that was found instead. */
    private sealed interface Input {
        /** Returns the memory that it takes, in bytes. */
        default long heldBytes() {
            return 0;
        }

        record Valid(UwsgiRequest request) implements Input {
            @Override
            public long heldBytes() {
                return request.heldBytes();
            }
        }

        record Malformed(UwsgiException fault) implements Input {}
    }

    UwsgiConnection(Connection connection, ClientConnections connections, UwsgiFrontend frontend) {
        super(connection, connections);
        this.frontend = frontend;
    }

    /** Returns the peer's address without its port. */
    String peerHost() {
        String address = connection.peerAddress();
        int colon = address.lastIndexOf(':');
        return colon < 0 ? address : address.substring(0, colon);
    }

    @Override
    public Runnable decode(byte[] bytes, int from, int to) {
        if (isDecodingStopped) {
            return null;
        }
        List<Input> inputs = new ArrayList<>(1);
        try {
            decoder.decode(bytes, from, to, request -> inputs.add(new Input.Valid(request)));
        } catch (UwsgiException e) {
            isDecodingStopped = true;
            inputs.add(new Input.Malformed(e));
        }
        return inputs.isEmpty() ? null : () -> enqueue(inputs);
    }

    @Override
    public boolean hasPartialMessage() {
        return decoder.hasPartialRequest();
    }

    @Override
    public long heldInputBytes() {
        return decoder.heldBytes() + waitingBytes;
    }

    @Override
    public void discardInput() {
        isDecodingStopped = true;
        decoder.discard();
        waitingInputs.clear();
        waitingBytes = 0;
    }

    private void enqueue(List<Input> inputs) {
        if (!connection.isOpen()) {
            return;
        }
        for (Input input : inputs) {
            waitingInputs.add(input);
            waitingBytes += input.heldBytes();
        }
        if (waitingInputs.size() > MAX_WAITING_REQUESTS) {
            connection.drop(CloseCode.FLOOD);
        } else {
            serveWaiting();
        }
    }

    /** Serves waiting requests in order, up to the first that is not answered immediately. */
    private void serveWaiting() {
        while (connection.isOpen() && openAttempts().isEmpty() && !waitingInputs.isEmpty()) {
            Input input = waitingInputs.poll();
            waitingBytes -= input.heldBytes();
            if (input instanceof Input.Malformed malformed) {
                closeMalformed(malformed.fault());
                return;
            }
            serveRequest(((Input.Valid) input).request());
        }
    }

    private void serveRequest(UwsgiRequest request) {
        if (request.isPing()) {
            answerPing();
            return;
        }
        try {
            frontend.openAttempt(this, request, ++lastRequestNumber);
        } catch (UwsgiException e) {
            // The request was complete, so the requests after it can still be decoded.
            frontend.logBadInput(connection.peerAddress(), e);
            writeText(e.status, e.getMessage());
            closeIfDone();
        }
    }

    /** Answers malformed input with its HTTP status, if it has one, and closes the connection. */
    private void closeMalformed(UwsgiException fault) {
        frontend.logBadInput(connection.peerAddress(), fault);
        if (fault.status == 0) {
            connection.drop(CloseCode.BAD_INPUT);
            return;
        }
        writeText(fault.status, fault.getMessage());
        connection.close(CloseCode.BAD_INPUT);
    }

    /** Answers a ping; an unhealthy server drops the connection instead, as if it were down. */
    private void answerPing() {
        if (!frontend.isHealthy()) {
            connection.drop(CloseCode.ANSWERED);
            return;
        }
        markValidMessage();
        hasAnswered = true;
        connection.write(UwsgiResponse.pong());
        closeIfDone();
    }

    private static byte[] encodeText(String message) {
        return (message + "\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private void writeText(int status, String message) {
        write(new UwsgiResponse(status, Map.of("Content-Type", "text/plain"), encodeText(message)));
    }

    private void write(UwsgiResponse answer) {
        hasAnswered = true;
        connection.write(answer.encode());
        if (!waitingInputs.isEmpty()) {
            frontend.post(this::serveWaiting);
        }
    }

    @Override
    protected void writeResult(RequestAttempt attempt, byte[] result, boolean replayed) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/octet-stream");
        if (replayed) {
            headers.put("X-Idempotent-Replay", "true");
        }
        write(new UwsgiResponse(200, headers, result));
    }

    @Override
    protected void writeThrottled(RequestAttempt attempt, Duration retryAfter, boolean isFinal) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "text/plain");
        if (!retryAfter.isZero()) {
            // Retry-After is in whole seconds (RFC 9110, section 10.2.3).
            headers.put("Retry-After", "" + Math.max(1, (retryAfter.toMillis() + 999) / 1000));
            headers.put("X-Backoff-Ms", "" + Math.max(1, retryAfter.toMillis()));
        }
        if (isFinal) {
            headers.put("X-Final", "1");
        }
        write(new UwsgiResponse(503, headers, encodeText("throttled")));
    }

    @Override
    protected void writeError(RequestAttempt attempt, FailureReason reason) {
        int status =
                switch (reason) {
                    case FAILED, RESULT_LOST, RID_IN_USE -> 500;
                    case DEADLINE_EXCEEDED -> 504;
                    case BODY_MISMATCH -> 422;
                    case IN_FLIGHT, UNKNOWN_END -> 409;
                };
        writeText(status, reason.wireMessage);
    }

    @Override
    protected boolean hasQueuedRequests() {
        return !waitingInputs.isEmpty();
    }

    @Override
    protected boolean isFinished() {
        return hasAnswered;
    }
}
