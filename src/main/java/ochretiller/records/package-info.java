/**
 * The client of the records service, which runs can call. {@link ochretiller.records.RecordsClient}
 * maintains a pool of TCP connections with one call at a time on each, and ends each call exactly
 * once: with a reply, a timeout, or a connection failure.
 *
 * <p>State: the pending calls and the open connections. Everything is confined to the event loop;
 * {@link ochretiller.records.RecordsConnection} splits lines on the I/O thread. Dependencies:
 * {@code net}, {@code text}.
 */
package ochretiller.records;
