/**
 * The client of the processor, the process that runs the operations. Over one TCP connection it
 * starts and cancels runs, passes replies of calls, and asks for gauges and deep checks.
 *
 * <p>The processor numbers its notices and repeats those that a new connection has missed: {@link
 * ochretiller.processor.NoticeSequence} makes each count once. After a reconnect {@link
 * ochretiller.processor.ProcessorClient} repeats the commands that the old connection may have
 * lost, so runs survive it. State: the runs under way and the last gauges. Everything belongs to
 * the event loop; {@link ochretiller.processor.ProcessorConnection} cuts lines on the I/O thread.
 *
 * <p>Neighbours: {@code execution} (the port that this implements), {@code net}, {@code text}.
 */
package ochretiller.processor;
