package ochretiller.frontend;

import ochretiller.collections.SharedCapacity;

/**
 * The memory of all unanswered attempts, by connection. While it is scarce, a connection may hold
 * no more than an equal share, so that together they never hold more than twice the capacity: what
 * they held before it became scarce, and a share each. Confined to the event loop.
 */
final class OpenAttemptMemory {
    /** Memory of an attempt beside its body: its objects here, in admission and in the tables. */
    private static final int ATTEMPT_OVERHEAD_BYTES = 1_536;

    private final SharedCapacity<ClientConnection> memory;

    /**
     * Creates an account without attempts.
     *
     * @param capacityBytes memory above which connections are held to their share
     */
    OpenAttemptMemory(long capacityBytes) {
        memory = new SharedCapacity<>(capacityBytes);
    }

    private static long bytesOf(RequestAttempt attempt) {
        return ATTEMPT_OVERHEAD_BYTES + (long) attempt.body.length;
    }

    /** Adds an attempt; returns false if its connection then exceeds its share of scarce memory. */
    boolean add(RequestAttempt attempt) {
        ClientConnection peer = attempt.clientConnection;
        memory.set(peer, memory.get(peer) + bytesOf(attempt));
        return !(memory.isExceeded() && memory.isOverShare(peer));
    }

    /** Removes an attempt that was added and is answered now. */
    void remove(RequestAttempt attempt) {
        ClientConnection peer = attempt.clientConnection;
        memory.set(peer, memory.get(peer) - bytesOf(attempt));
    }
}
