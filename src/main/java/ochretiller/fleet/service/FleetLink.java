package ochretiller.fleet.service;

import java.util.function.BiConsumer;

/**
 * Sends messages of the replication service to other servers, and posts messages to this server
 * itself to the event loop. Confined to the event loop.
 */
final class FleetLink implements PeerSender {
    private final FleetContext context;
    private final BiConsumer<String, Object> localReceiver;
    private boolean isDisabled;
    private boolean isClosed;

    /**
     * Creates an open link.
     *
     * @param localReceiver receives messages to this server, with its name as the sender
     */
    FleetLink(FleetContext context, BiConsumer<String, Object> localReceiver) {
        this.context = context;
        this.localReceiver = localReceiver;
    }

    @Override
    public void send(String server, Object message) {
        if (isDisabled) {
            return;
        }
        if (server.equals(context.serverName())) {
            context.scheduler().post(() -> localReceiver.accept(server, message));
        } else {
            context.sender().send(server, message);
        }
    }

    /** Disables sending and receiving for good, because another process uses this server's name. */
    void disable() {
        isDisabled = true;
    }

    /** Stops receiving; operations that complete later have no effect. */
    void close() {
        isClosed = true;
    }

    boolean isClosed() {
        return isClosed;
    }

    /** Returns whether received messages are processed. */
    boolean isReceiving() {
        return !isClosed && !isDisabled;
    }
}
