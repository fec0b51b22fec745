/**
 * The uwsgi protocol in both directions, and the frontend for web servers that use it.
 *
 * <p>Codec: {@link ochretiller.uwsgi.UwsgiRequestDecoder} and {@link
 * ochretiller.uwsgi.UwsgiResponse} serve web servers, {@link ochretiller.uwsgi.UwsgiRequest} and
 * {@link ochretiller.uwsgi.UwsgiResponseDecoder} serve workers. All limit the size of their input
 * and do no I/O; {@code docs/uwsgi.md} lists what is supported.
 *
 * <p>Frontend: {@link ochretiller.uwsgi.UwsgiFrontend} turns requests into attempts according to
 * its {@link ochretiller.uwsgi.Route}s; {@link ochretiller.uwsgi.UwsgiConnection} answers them in
 * order. The frontend runs on the event loop thread, decoding on the I/O thread. Dependencies:
 * {@code frontend}, {@code paths}, {@code net}.
 */
package ochretiller.uwsgi;
