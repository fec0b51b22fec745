/**
 * Code that is common to the frontends of all protocols: client connections, the open requests on
 * them, and the limits on both.
 *
 * <p>A frontend ({@code jsonrpc}, {@code uwsgi}) extends {@link
 * ochretiller.frontend.ClientConnection}, which turns bytes into {@link
 * ochretiller.frontend.RequestAttempt}s and responses into bytes. {@link
 * ochretiller.frontend.ClientConnections} passes attempts on for admission and ensures that each is
 * answered at most once; {@link ochretiller.frontend.ConnectionTable} decides which connections to
 * close when there are too many, when they are idle, and when the server shuts down.
 *
 * <p>State: open connections and open attempts. Everything is confined to the event loop, except
 * that accepted and released connections are counted on the I/O threads.
 */
package ochretiller.frontend;
