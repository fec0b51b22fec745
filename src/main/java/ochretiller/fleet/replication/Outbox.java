package ochretiller.fleet.replication;

import java.util.ArrayList;
import java.util.List;

/** Messages to pass to the transport, in the order in which they were added. */
final class Outbox {
    private final List<OutboundMessage> messages = new ArrayList<>();

    void send(String recipient, ReplicationMessage message) {
        messages.add(new OutboundMessage(recipient, message));
    }

    void sendAll(List<OutboundMessage> newMessages) {
        messages.addAll(newMessages);
    }

    /** Removes and returns all messages. */
    List<OutboundMessage> drain() {
        List<OutboundMessage> drained = List.copyOf(messages);
        messages.clear();
        return drained;
    }
}
