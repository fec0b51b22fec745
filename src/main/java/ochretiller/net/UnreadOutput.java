package ochretiller.net;

import java.util.List;
import ochretiller.collections.SharedCapacity;

/**
 * The memory that output takes which clients have not read, by connection. Confined to the event
 * loop.
 */
final class UnreadOutput {
    private final SharedCapacity<Connection> memory;

    /**
     * Creates an account without entries.
     *
     * @param capacityBytes the memory that all connections together may take
     */
    UnreadOutput(long capacityBytes) {
        memory = new SharedCapacity<>(capacityBytes);
    }

    /**
     * Sets what a connection takes. If its client has read something since the last update, it
     * counts as a new holder.
     */
    void update(Connection connection) {
        if (connection.hasMadeProgress()) {
            remove(connection);
        }
        memory.set(connection, connection.unreadMemoryBytes());
    }

    /** Removes a connection. */
    void remove(Connection connection) {
        memory.set(connection, 0);
    }

    /**
     * Closes connections while the capacity is exceeded: of those that take more than half an equal
     * share, the one whose client has read nothing for the longest time.
     */
    void closeExcess() {
        if (!memory.isExceeded()) {
            return;
        }
        List.copyOf(memory.holders()).forEach(this::update); // output may have been read meanwhile
        while (memory.isExceeded()) {
            Connection oldest = memory.oldestOverHalfShare();
            remove(oldest);
            oldest.drop(CloseCode.NOT_READING);
        }
    }
}
