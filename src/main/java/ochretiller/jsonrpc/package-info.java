/**
 * Where gateways come in: listening, JSON-RPC, open requests, health checks, idle closing and
 * leaving.
 */
package ochretiller.jsonrpc;
