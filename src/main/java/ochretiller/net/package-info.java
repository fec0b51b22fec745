/**
 * TCP connections on Apache MINA: listening, connecting, bounded read and write buffers, and the
 * order in which a connection is closed.
 *
 * <p>{@link ochretiller.net.Network} owns the listeners and the I/O threads; each connection is a
 * {@link ochretiller.net.Connection} with one {@link ochretiller.net.ConnectionHandler}, which
 * decodes its protocol. State: the connections, what each has to send, and how many bytes were read
 * but are not worked off yet.
 *
 * <p>Threads: MINA's I/O threads read, decode and hand work to the event loop through {@link
 * ochretiller.net.Scheduler}; everything else runs on the event loop. Members say where they may be
 * called.
 *
 * <p>Neighbours: {@code frontend} (connections of clients), {@code processor}, {@code records} and
 * {@code workers} (outbound connections) build on this package; it depends on {@code text} for
 * malformed input only.
 */
package ochretiller.net;
