/**
 * The client of the processor, the process that runs the operations. Over one TCP connection it
 * starts and cancels runs, sends replies to calls, and requests gauges and deep checks.
 *
 * <p>The processor numbers its notices and repeats on a new connection those that were missed;
 * {@link ochretiller.processor.NoticeSequence} ensures that each is processed once. After a
 * reconnect, {@link ochretiller.processor.ProcessorClient} repeats the commands that may have been
 * lost, so runs survive it. State: the runs in progress and the last gauges. Everything is confined
 * to the event loop; {@link ochretiller.processor.ProcessorConnection} splits lines on the I/O
 * thread.
 *
 * <p>Dependencies: {@code execution} (this package implements its run backend), {@code net}, {@code
 * text}.
 */
package ochretiller.processor;
