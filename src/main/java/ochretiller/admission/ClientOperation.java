package ochretiller.admission;

import ochretiller.model.ClientId;
import ochretiller.model.Operation;

/**
 * A client and an operation that it invokes, the key of the queue's round-robin order.
 *
 * @param client the client
 * @param operation the operation
 */
record ClientOperation(ClientId client, Operation operation) {
    // Not generated: a record's generated methods are linked at run time, which costs startup time
    // and slows each lookup in the queue.
    @Override
    public boolean equals(Object other) {
        return other instanceof ClientOperation that
                && client.equals(that.client)
                && operation.equals(that.operation);
    }

    @Override
    public int hashCode() {
        return 31 * client.hashCode() + operation.hashCode();
    }
}
