/**
 * Fleet services of a server, which perform the I/O that the decision packages request.
 *
 * <p><b>Purpose.</b> {@link ochretiller.fleet.service.FleetService} drives the membership protocol
 * and dispatches messages. {@link ochretiller.fleet.service.ReplicationService} ticks the consensus
 * on epochs, this server's replica and its claims, and sends their messages once the state that
 * they depend on is durable. {@link ochretiller.fleet.service.RolloutService} downloads and
 * activates versions, renews this server's lease and, on an acceptor, grants leases and advances
 * rollouts. Admin commands are handled here and answered as JSON.
 *
 * <p><b>State.</b> Files hold the acceptor's state, the known peers, the versions and the
 * description of the active one. The store holds the replica's entries, metadata and chunked
 * results. All other state is in memory and is rebuilt after a start.
 *
 * <p><b>Threads.</b> The services run on the event loop. Each kind of small file has a background
 * thread for its writes, which posts completions to the event loop. Gauges are read from other
 * threads, so their values are published as immutable objects.
 *
 * <p><b>Dependencies.</b> This package uses {@code fleet.transport} for encoding and sockets,
 * {@code fleet.membership}, {@code fleet.consensus}, {@code fleet.replication} and {@code
 * fleet.rollout} for decisions, and {@code store}. The server node passes in a {@link
 * ochretiller.fleet.service.FleetRuntime} and {@link ochretiller.fleet.service.FleetCallbacks}.
 *
 * <p>{@code docs/fleet-wire.md} and {@code docs/store-format.md} specify the formats; tests compare
 * them with golden files.
 */
package ochretiller.fleet.service;
