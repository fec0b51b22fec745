/**
 * Runs operations on pools of uwsgi workers instead of the processor: connections, requests,
 * timeouts, and retries of requests that provably never started. {@code pools} decides which worker
 * gets a request.
 *
 * <p>{@link ochretiller.workers.UwsgiRunBackend} implements the interface of {@code execution}; a
 * {@link ochretiller.workers.WorkerRun} is one run, a {@link ochretiller.workers.WorkerConnection}
 * one connection. State: the pools, the unfinished runs and the open connections. Runs on the event
 * loop thread; only decoding runs on the I/O thread. Neighbours: {@code uwsgi} (the protocol),
 * {@code pools}, {@code net}, {@code metrics}.
 */
package ochretiller.workers;
