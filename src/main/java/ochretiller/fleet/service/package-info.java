/**
 * The services of a server in its fleet: they carry out what the decision packages decide.
 *
 * <p><b>Job.</b> {@link ochretiller.fleet.service.FleetService} drives the membership protocol and
 * passes messages on. {@link ochretiller.fleet.service.ReplicationService} gives time and messages
 * to the consensus on epochs, to this server's replica and to its claims, and sends their messages
 * once the state that they rest on is durable. {@link ochretiller.fleet.service.RolloutService}
 * downloads versions and puts them into use, holds this server's lease and, on an acceptor, grants
 * leases and carries rollouts on. The operators' commands are answered here, as JSON.
 *
 * <p><b>State.</b> In files: the acceptor's state, the peers that were known last, the versions and
 * which of them is in use ({@code SealedFile}); in the store: the replica's entries, metadata and
 * long results ({@code ReplicaStorage}). The rest is in memory and is rebuilt after a start.
 *
 * <p><b>Threads.</b> The event loop runs all of it; small files are written by a {@code
 * BackgroundWriter} thread each, which posts its completion back to the event loop. Gauges are read
 * from other threads and are published as immutable objects.
 *
 * <p><b>Neighbours.</b> Below are {@code fleet.transport} for bytes, {@code fleet.membership},
 * {@code fleet.consensus}, {@code fleet.replication} and {@code fleet.rollout} for decisions, and
 * {@code store}. The server node above hands in a {@code FleetRuntime} and {@code FleetCallbacks}.
 *
 * <p>Formats are in {@code docs/fleet-wire.md} and {@code docs/store-format.md}; golden files of
 * the tests pin them.
 */
package ochretiller.fleet.service;
