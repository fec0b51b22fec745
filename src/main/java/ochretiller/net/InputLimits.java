package ochretiller.net;

/**
 * Limits of the input of client connections, so that all of it fits its share of the memory. Half
 * of the share is for reads that wait for the event loop, whose number and size are limited for
 * each connection, and half for the incomplete input that decoders hold ({@link HeldInput}).
 *
 * @param readBytes maximum bytes of one read
 * @param heldBytes memory that the decoders of all connections may hold, in bytes
 */
record InputLimits(int readBytes, long heldBytes) {
    /** Reads of one connection that may wait for the event loop; further input is not read. */
    static final int MAX_WAITING_READS = 2;

    /** The input of clients may take 1/24 of the server's memory. */
    private static final int MEMORY_DIVISOR = 24;

    /** Bytes of one read: a few messages of maximum length, or a small one if memory is scarce. */
    private static final int MAX_READ_BYTES = 8 * 1024;

    private static final int MIN_READ_BYTES = 512;

    /**
     * Returns the limits of a server.
     *
     * @param memoryBytes memory of the server
     * @param maxConnections client connections that may be open
     */
    static InputLimits of(long memoryBytes, int maxConnections) {
        long half = memoryBytes / MEMORY_DIVISOR / 2;
        long readBytes = half / MAX_WAITING_READS / maxConnections;
        return new InputLimits(
                (int) Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, readBytes)), half);
    }
}
