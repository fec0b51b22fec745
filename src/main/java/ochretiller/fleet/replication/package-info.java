/**
 * Replication of claims and outcomes of keyed (idempotency-token) invocations: each token runs at
 * most once in the fleet within its window, and a repeat at any server gets the stored answer.
 *
 * <p><b>Job.</b> Tokens fall into ranges, and each range has some replicas, which a numbered epoch
 * ({@link ochretiller.fleet.consensus.ReplicaPlacement}) names. Before a server runs an invocation
 * its {@link ochretiller.fleet.replication.ClaimCoordinator} claims the token at a majority of the
 * replicas; before it answers, the outcome is stored by a majority. A {@link
 * ochretiller.fleet.replication.Replica} grants claims, stores entries, hands ranges over between
 * epochs, and repairs differences by anti-entropy. {@link
 * ochretiller.fleet.replication.DurabilityBarrier} holds its messages back until what they rest on
 * is on disk. {@link ochretiller.fleet.replication.ClaimModes} decides which operations are claimed
 * at all.
 *
 * <p><b>State.</b> Entries per token ({@link ochretiller.fleet.replication.ReplicaEntry}) that only
 * grow and merge in any order; claims and outcomes in flight. All of it is bounded.
 *
 * <p><b>Thread.</b> Pure decisions: no I/O, clock or thread. Time and random numbers are handed in;
 * messages and writes are returned. Each object belongs to the one thread that drives it.
 *
 * <p><b>Neighbours.</b> {@code fleet.consensus} agrees on placements; {@code fleet.service} carries
 * decisions out on sockets and disk; the emulator does the same in virtual time. {@code
 * docs/copies.md} has the design.
 */
package ochretiller.fleet.replication;
