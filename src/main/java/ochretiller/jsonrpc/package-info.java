/**
 * The JSON-RPC frontend for gateways: one JSON-RPC 2.0 message a line over TCP, with invocations,
 * {@code ping}, {@code abort} and the server's {@code shutdown} notification.
 *
 * <p>{@link ochretiller.jsonrpc.JsonRpcConnection} cuts the input into lines on the I/O thread and
 * {@code JsonRpcCodec} parses them; {@link ochretiller.jsonrpc.JsonRpcFrontend} acts on the
 * messages on the event loop. State: what {@link ochretiller.jsonrpc.HealthChecks} answers, and the
 * health checks that are under way. Open attempts are kept in {@code frontend}.
 */
package ochretiller.jsonrpc;
