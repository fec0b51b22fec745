/**
 * The client of the records service, which runs call while they are under way. {@link
 * ochretiller.records.RecordsClient} keeps a pool of TCP connections with one call at a time on
 * each, and answers each call once: with a reply, a timeout, or a broken connection.
 *
 * <p>State: the calls under way and the open connections. Everything belongs to the event loop;
 * {@link ochretiller.records.RecordsConnection} cuts lines on the I/O thread. Neighbours: {@code
 * net}, {@code text}.
 */
package ochretiller.records;
