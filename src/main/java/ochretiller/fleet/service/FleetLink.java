package ochretiller.fleet.service;

import java.util.function.BiConsumer;

/**
 * Sends the messages of the replication service to other servers, and posts those to this server
 * itself to the event loop. On the event loop.
 */
final class FleetLink implements PeerSender {
    private final FleetContext context;
    private final BiConsumer<String, Object> localReceiver;
    private boolean isSilenced;
    private boolean isClosed;

    /**
     * Creates an open link.
     *
     * @param localReceiver takes messages to this server, with its name as the sender
     */
    FleetLink(FleetContext context, BiConsumer<String, Object> localReceiver) {
        this.context = context;
        this.localReceiver = localReceiver;
    }

    @Override
    public void send(String server, Object message) {
        if (isSilenced) {
            return;
        }
        if (server.equals(context.serverName())) {
            context.scheduler().post(() -> localReceiver.accept(server, message));
        } else {
            context.sender().send(server, message);
        }
    }

    /** Nothing is sent or received from here on: another process bears this server's name. */
    void silence() {
        isSilenced = true;
    }

    /** Nothing is received from here on, and what is completed later has no effect. */
    void close() {
        isClosed = true;
    }

    boolean isClosed() {
        return isClosed;
    }

    /** Returns whether messages are taken. */
    boolean isReceiving() {
        return !isClosed && !isSilenced;
    }
}
