/**
 * What the frontends of all protocols share: the connections of clients, the requests that are open
 * on them, and the limits on both.
 *
 * <p>A frontend ({@code jsonrpc}, {@code uwsgi}) extends {@link
 * ochretiller.frontend.ClientConnection}, which turns bytes into {@link
 * ochretiller.frontend.RequestAttempt}s and answers into bytes. {@link
 * ochretiller.frontend.ClientConnections} passes attempts to the server's decisions and makes sure
 * that each is answered once; {@link ochretiller.frontend.ConnectionTable} decides which
 * connections are closed where there are too many, where they are idle, and when the server shuts
 * down.
 *
 * <p>State: open connections and open attempts. Everything belongs to the event loop, except for
 * accepting and releasing a connection, which are counted on the I/O threads.
 */
package ochretiller.frontend;
