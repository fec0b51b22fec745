/**
 * Runs operations on pools of uwsgi workers instead of the processor: connections, requests,
 * timeouts, and retries of requests that provably never started. {@code pools} decides which worker
 * gets a request.
 *
 * <p>{@link ochretiller.workers.UwsgiRunBackend} implements {@link
 * ochretiller.execution.RunBackend}; a {@link ochretiller.workers.WorkerRun} is one run, a {@link
 * ochretiller.workers.WorkerConnection} one connection. The backend holds the pools, the unfinished
 * runs and the open connections. All code runs on the event loop thread except decoding, which runs
 * on the I/O thread. Dependencies: {@code uwsgi} (the protocol), {@code pools}, {@code net}, {@code
 * metrics}.
 */
package ochretiller.workers;
