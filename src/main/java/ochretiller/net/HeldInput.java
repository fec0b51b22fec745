package ochretiller.net;

import ochretiller.collections.SharedCapacity;

/**
 * The memory that the decoders of all client connections hold for input that is no request yet:
 * incomplete messages, and requests that wait for an earlier one of their connection. Confined to
 * the event loop.
 */
final class HeldInput {
    private final SharedCapacity<ClientInput> memory;

    /**
     * Creates an account without entries.
     *
     * @param capacityBytes the memory that all connections together may hold
     */
    HeldInput(long capacityBytes) {
        memory = new SharedCapacity<>(capacityBytes);
    }

    /**
     * Sets what a connection holds.
     *
     * @param bytes the bytes that it holds now
     * @param hasCompletedMessage whether a message was completed since the last update, so that
     *     what is held is younger than that
     */
    void update(ClientInput input, long bytes, boolean hasCompletedMessage) {
        if (hasCompletedMessage) {
            remove(input);
        }
        memory.set(input, bytes);
    }

    /** Removes a connection. */
    void remove(ClientInput input) {
        memory.set(input, 0);
    }

    /**
     * Closes connections while the capacity is exceeded: of those that hold more than half an equal
     * share, the one that has held its input longest. Whoever sends whole requests holds input for
     * a short time only, and is not chosen while others hold theirs.
     */
    void closeExcess() {
        while (memory.isExceeded()) {
            ClientInput oldest = memory.oldestOverHalfShare();
            if (oldest.heldBytes() < memory.get(oldest)) {
                memory.set(oldest, oldest.heldBytes()); // its requests were served meanwhile
            } else {
                remove(oldest);
                oldest.disconnect(CloseCode.FLOOD);
            }
        }
    }
}
