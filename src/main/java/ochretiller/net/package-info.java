/**
 * TCP connections on Apache MINA: listening, connecting, bounded read and write buffers, and the
 * order in which a connection is closed.
 *
 * <p>{@link ochretiller.net.Network} owns the listeners and the I/O threads; each connection is a
 * {@link ochretiller.net.Connection} with one {@link ochretiller.net.ConnectionHandler}, which
 * decodes its protocol. State: the connections, their unsent output, and the input that was read
 * but not processed yet ({@link ochretiller.net.ClientInput}, {@link ochretiller.net.HeldInput}).
 *
 * <p>Threads: MINA's I/O threads read, decode what outbound connections receive, and post work to
 * the event loop through {@link ochretiller.net.Scheduler}; everything else runs on the event loop.
 * Methods document the thread that may call them.
 *
 * <p>Dependencies: used by {@code frontend} (client connections), {@code processor}, {@code
 * records} and {@code workers} (outbound connections); depends on {@code text} only for the
 * exception that reports malformed input.
 */
package ochretiller.net;
