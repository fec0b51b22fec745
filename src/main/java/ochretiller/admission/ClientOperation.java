package ochretiller.admission;

import ochretiller.model.ClientId;
import ochretiller.model.Operation;

/**
 * The stream of invocations of one operation that come from one client.
 *
 * @param client who sends them
 * @param operation what they ask for
 */
record ClientOperation(ClientId client, Operation operation) {
    // Written out, since a record's generated methods are linked at run time, which costs start-up
    // time and slows each look-up in the queue.
    @Override
    public boolean equals(Object other) {
        return other instanceof ClientOperation stream
                && client.equals(stream.client)
                && operation.equals(stream.operation);
    }

    @Override
    public int hashCode() {
        return 31 * client.hashCode() + operation.hashCode();
    }
}
