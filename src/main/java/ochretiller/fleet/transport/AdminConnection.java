package ochretiller.fleet.transport;

import java.io.ByteArrayOutputStream;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.text.BadInputException;

/**
 * Server side of an admin connection, which an operator's command opens. Input is read by one
 * thread at a time; the tasks returned for it run on the event loop.
 */
final class AdminConnection implements ConnectionHandler {
    /** Bounds the life of a connection: a polling command reconnects after this many requests. */
    private static final int MAX_REQUESTS_PER_CONNECTION = 100;

    private final AdminEndpoint endpoint;
    private final Connection connection;
    private final String challenge;
    private final boolean isOverLimit;
    private final ByteArrayOutputStream pendingBytes = new ByteArrayOutputStream();
    private int requestCount;
    private boolean isGreeted;

    /**
     * Creates the handler of a new connection.
     *
     * @param isOverLimit whether too many connections are open; this one is then closed
     */
    AdminConnection(
            AdminEndpoint endpoint, Connection connection, String challenge, boolean isOverLimit) {
        this.endpoint = endpoint;
        this.connection = connection;
        this.challenge = challenge;
        this.isOverLimit = isOverLimit;
    }

    @Override
    public Runnable decode(byte[] bytes, int from, int to) throws BadInputException {
        if (isOverLimit) {
            connection.drop(CloseCode.TOO_MANY);
            return null;
        }
        pendingBytes.write(bytes, from, to - from);
        return isGreeted ? readRequest() : readGreeting();
    }

    /** Sends the challenge only after the greeting byte, so that a silent peer costs no seal. */
    private Runnable readGreeting() throws BadInputException {
        byte[] bytes = pendingBytes.toByteArray();
        if (bytes.length == 0 || bytes[0] != AdminEndpoint.GREETING) {
            throw new BadInputException("an admin connection starts without the greeting byte");
        }
        isGreeted = true;
        pendingBytes.reset();
        pendingBytes.write(bytes, 1, bytes.length - 1);
        return () -> connection.write(endpoint.seal(challenge, "hello", endpoint.serverName()));
    }

    private Runnable readRequest() throws BadInputException {
        byte[] bytes = pendingBytes.toByteArray();
        int length = SealedFrame.frameLength(bytes, bytes.length);
        if (length < 0 || length > SealedFrame.MAX_REQUEST_BYTES) {
            throw new BadInputException(
                    "an admin request has an invalid length: " + length + " bytes");
        }
        if (length == 0 || bytes.length < length) {
            return null;
        }
        // A client waits for each answer before it sends the next request.
        if (bytes.length > length || ++requestCount > MAX_REQUESTS_PER_CONNECTION) {
            throw new BadInputException(
                    "an admin connection sent a request too early, or more than "
                            + MAX_REQUESTS_PER_CONNECTION
                            + " requests");
        }
        pendingBytes.reset();
        AdminMessage request = open(bytes);
        return () -> {
            String answer = endpoint.handle(request);
            connection.write(endpoint.seal(challenge, request.command(), answer));
        };
    }

    private AdminMessage open(byte[] frame) throws BadInputException {
        AdminMessage request;
        try {
            request = endpoint.open(frame);
        } catch (RejectedPacketException e) {
            throw new BadInputException(
                    "an admin request was rejected: " + e.reason().externalName());
        }
        if (!endpoint.accepts(request) || !request.challenge().equals(challenge)) {
            throw new BadInputException(
                    "an admin request has another fleet or challenge, or an unknown command");
        }
        return request;
    }

    @Override
    public void onInputEnded() {
        connection.close(CloseCode.PEER_CLOSED);
    }

    @Override
    public void onClosed(CloseCode code) {
        endpoint.onConnectionClosed();
    }
}
