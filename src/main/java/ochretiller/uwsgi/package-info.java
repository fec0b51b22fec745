/**
 * The uwsgi protocol in both directions, and the frontend for web servers that speak it.
 *
 * <p>Codec: {@link ochretiller.uwsgi.UwsgiRequestDecoder} and {@link ochretiller.uwsgi.UwsgiResponse}
 * serve web servers, {@link ochretiller.uwsgi.UwsgiRequest} and {@link
 * ochretiller.uwsgi.UwsgiResponseDecoder} talk to workers. All are bounded and have no sockets;
 * {@code docs/uwsgi-protocol.md} says what is supported.
 *
 * <p>Frontend: {@link ochretiller.uwsgi.UwsgiFrontend} turns requests into attempts by its {@link
 * ochretiller.uwsgi.Route}s; {@link ochretiller.uwsgi.UwsgiConnection} answers them in order. It
 * belongs to the event loop, decoding to the I/O thread. Neighbours: {@code frontend}, {@code
 * paths}, {@code net}.
 */
package ochretiller.uwsgi;
