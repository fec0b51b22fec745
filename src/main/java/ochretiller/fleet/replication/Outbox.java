package ochretiller.fleet.replication;

import java.util.ArrayList;
import java.util.List;

/** Messages that wait to be handed to the transport, in the order in which they were decided on. */
final class Outbox {
    private final List<OutboundMessage> messages = new ArrayList<>();

    void send(String recipient, ReplicationMessage message) {
        messages.add(new OutboundMessage(recipient, message));
    }

    void sendAll(List<OutboundMessage> more) {
        messages.addAll(more);
    }

    /** Returns all messages that wait, and forgets them. */
    List<OutboundMessage> drain() {
        List<OutboundMessage> drained = List.copyOf(messages);
        messages.clear();
        return drained;
    }
}
