package ochretiller.fleet.transport;

import java.io.ByteArrayOutputStream;
import ochretiller.net.CloseCode;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;
import ochretiller.text.BadInputException;

/**
 * One connection of an operators' command, on the server's side. Read by one thread at a time; what
 * it returns is run on the event loop.
 */
final class AdminConnection implements ConnectionHandler {
    /** Guards against an endless connection: a command that polls connects anew after these. */
    private static final int MAX_REQUESTS_PER_CONNECTION = 100;

    private final AdminEndpoint endpoint;
    private final Connection connection;
    private final String challenge;
    private final boolean isSurplus;
    private final ByteArrayOutputStream unread = new ByteArrayOutputStream();
    private int requests;
    private boolean isGreeted;

    /**
     * Creates the handler of a new connection.
     *
     * @param isSurplus whether there are too many connections: this one is closed
     */
    AdminConnection(
            AdminEndpoint endpoint, Connection connection, String challenge, boolean isSurplus) {
        this.endpoint = endpoint;
        this.connection = connection;
        this.challenge = challenge;
        this.isSurplus = isSurplus;
    }

    @Override
    public Runnable received(byte[] bytes, int from, int to) throws BadInputException {
        if (isSurplus) {
            connection.drop(CloseCode.TOO_MANY);
            return null;
        }
        unread.write(bytes, from, to - from);
        return isGreeted ? readRequest() : readGreeting();
    }

    /** Whoever connects and sends nothing costs no challenge and no seal. */
    private Runnable readGreeting() throws BadInputException {
        byte[] bytes = unread.toByteArray();
        if (bytes.length == 0 || bytes[0] != AdminEndpoint.GREETING) {
            throw new BadInputException("no question at the fleet's door");
        }
        isGreeted = true;
        unread.reset();
        unread.write(bytes, 1, bytes.length - 1);
        return () -> connection.write(endpoint.seal(challenge, "hello", endpoint.serverName()));
    }

    private Runnable readRequest() throws BadInputException {
        byte[] bytes = unread.toByteArray();
        int length = SealedFrame.length(bytes, bytes.length);
        if (length < 0 || length > SealedFrame.MAX_REQUEST_BYTES) {
            throw new BadInputException("a frame at the fleet's door is too long");
        }
        if (length == 0 || bytes.length < length) {
            return null;
        }
        // A command waits for each answer before it sends the next request.
        if (bytes.length > length || ++requests > MAX_REQUESTS_PER_CONNECTION) {
            throw new BadInputException("too much at the fleet's door");
        }
        unread.reset();
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
                    "a frame at the fleet's door is refused: " + e.reason().externalName());
        }
        if (!endpoint.accepts(request) || !request.challenge().equals(challenge)) {
            throw new BadInputException(
                    "a word at the fleet's door is for another fleet or connection, or unknown");
        }
        return request;
    }

    @Override
    public void inputEnded() {
        connection.close(CloseCode.PEER_CLOSED);
    }

    @Override
    public void ended(CloseCode code) {
        endpoint.connectionEnded();
    }
}
