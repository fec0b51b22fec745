package ochretiller.fleet.transport;

import java.security.SecureRandom;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import ochretiller.net.Connection;
import ochretiller.net.ConnectionHandler;

/**
 * Accepts admin connections of operators' commands on the fleet's TCP port and answers their
 * requests. Each request must contain the challenge of its connection and a valid seal.
 *
 * <p>Thread-safe: connections are read on network threads, commands are executed on the event loop.
 */
public final class AdminEndpoint {
    /** First byte that a client sends, to request the challenge. */
    static final byte GREETING = '?';

    /**
     * Maximum number of open connections: enough for operators, while a flood cannot use up the
     * file descriptors that clients need.
     */
    private static final int MAX_CONNECTIONS = 8;

    private final PacketCodec codec;
    private final String serverName;
    private final Map<String, CommandHandler> handlers;
    private final SecureRandom random = new SecureRandom();
    private final AtomicInteger openConnections = new AtomicInteger();

    /**
     * Creates the endpoint.
     *
     * @param codec provides the name and the keys of the fleet
     * @param handlers handlers of the commands, by command name
     */
    public AdminEndpoint(
            PacketCodec codec, String serverName, Map<String, CommandHandler> handlers) {
        this.codec = codec;
        this.serverName = serverName;
        this.handlers = handlers;
    }

    /** Returns the handler of a new connection. */
    public ConnectionHandler createHandler(Connection connection) {
        boolean isOverLimit = openConnections.incrementAndGet() > MAX_CONNECTIONS;
        String challenge =
                Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
        return new AdminConnection(this, connection, challenge, isOverLimit);
    }

    void onConnectionClosed() {
        openConnections.decrementAndGet();
    }

    byte[] seal(String challenge, String command, String text) {
        AdminMessage message = new AdminMessage(codec.fleetName(), challenge, command, text);
        return SealedFrame.seal(codec.keys(), message);
    }

    AdminMessage open(byte[] frame) throws RejectedPacketException {
        return SealedFrame.open(codec.keys(), frame);
    }

    boolean accepts(AdminMessage request) {
        return request.fleet().equals(codec.fleetName()) && handlers.containsKey(request.command());
    }

    String serverName() {
        return serverName;
    }

    /** Executes a request that {@link #accepts} has accepted. Called on the event loop. */
    String handle(AdminMessage request) {
        return handlers.get(request.command()).handle(request.text());
    }
}
