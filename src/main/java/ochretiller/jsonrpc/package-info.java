/**
 * The JSON-RPC frontend for gateways: one JSON-RPC 2.0 message per line over TCP, with invocations,
 * {@code ping}, {@code abort} and the server's {@code shutdown} notification.
 *
 * <p>{@link ochretiller.jsonrpc.JsonRpcConnection} splits the input into lines on the I/O thread
 * and {@code JsonRpcCodec} parses them; {@link ochretiller.jsonrpc.JsonRpcFrontend} handles the
 * messages on the event loop. State: the health and capacity in {@link
 * ochretiller.jsonrpc.HealthChecks}, and the health checks in progress. The {@code frontend}
 * package holds the open attempts.
 */
package ochretiller.jsonrpc;
