/**
 * Runs operations on pools of uwsgi workers instead of the processor: connections, requests,
 * timeouts, and the retry of requests that provably never started. Which worker gets a request is
 * decided in {@code pools}.
 *
 * <p>{@link ochretiller.workers.UwsgiRunBackend} implements the port {@code execution}; a {@link
 * ochretiller.workers.WorkerRun} is one run, a {@link ochretiller.workers.WorkerConnection} one
 * connection. State: the pools, the runs under way and the open connections. Everything belongs to
 * the event loop; answers are decoded on the I/O thread. Neighbours: {@code uwsgi} (the protocol),
 * {@code pools}, {@code net}, {@code metrics}.
 */
package ochretiller.workers;
