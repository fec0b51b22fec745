package ochretiller.net;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The memory that the decoders of all client connections hold for input that is no request yet:
 * incomplete messages, and requests that wait for an earlier one of their connection. Confined to
 * the event loop.
 */
final class HeldInput {
    private final long capacityBytes;

    /** Bytes by connection, in the order in which they began to hold their present input. */
    private final Map<ClientInput, Long> heldBytes = new LinkedHashMap<>();

    private long totalBytes;

    /**
     * Creates an account without entries.
     *
     * @param capacityBytes the memory that all connections together may hold
     */
    HeldInput(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /**
     * Sets what a connection holds.
     *
     * @param bytes the bytes that it holds now
     * @param hasCompletedMessage whether a message was completed since the last update, so that
     *     what is held is younger than that
     */
    void update(ClientInput input, long bytes, boolean hasCompletedMessage) {
        if (bytes == 0 || hasCompletedMessage) {
            remove(input);
        }
        if (bytes > 0) {
            Long before = heldBytes.put(input, bytes);
            totalBytes += bytes - (before == null ? 0 : before);
        }
    }

    /** Removes a connection. */
    void remove(ClientInput input) {
        Long removed = heldBytes.remove(input);
        if (removed != null) {
            totalBytes -= removed;
        }
    }

    /**
     * Closes connections while the capacity is exceeded: of those that hold more than an equal
     * share, the one that has held its input longest. Whoever sends whole requests holds input for
     * a short time only, and is not chosen while others hold theirs.
     */
    void closeExcess() {
        while (totalBytes > capacityBytes) {
            ClientInput oldest = oldestOverShare();
            long recordedBytes = heldBytes.get(oldest);
            if (oldest.heldBytes() < recordedBytes) {
                update(oldest, oldest.heldBytes(), false); // its requests were served meanwhile
            } else {
                remove(oldest);
                oldest.disconnect(CloseCode.FLOOD);
            }
        }
    }

    /** There is always one: if nobody held more than the share, the total would fit. */
    private ClientInput oldestOverShare() {
        long share = capacityBytes / heldBytes.size();
        return heldBytes.entrySet().stream()
                .filter(entry -> entry.getValue() > share)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }
}
