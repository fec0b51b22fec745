/**
 * Replication of claims and outcomes of keyed (idempotency-token) invocations: each token runs at
 * most once in the fleet within its window, and a repeat at any server gets the stored answer.
 *
 * <p><b>Purpose.</b> Tokens are partitioned into ranges. A numbered epoch ({@link
 * ochretiller.fleet.consensus.ReplicaPlacement}) assigns replicas to each range. Before a server
 * runs an invocation its {@link ochretiller.fleet.replication.ClaimCoordinator} claims the token at
 * a majority of the replicas; before it answers, the outcome is stored by a majority. A {@link
 * ochretiller.fleet.replication.Replica} grants claims, stores entries, hands ranges over between
 * epochs, and repairs differences by anti-entropy. {@link
 * ochretiller.fleet.replication.DurabilityBarrier} holds its messages back until the changes that
 * they depend on are on disk. {@link ochretiller.fleet.replication.ClaimModes} decides which
 * operations are claimed at all.
 *
 * <p><b>State.</b> Entries per token ({@link ochretiller.fleet.replication.ReplicaEntry}), which
 * only grow and merge in any order, and claims and outcomes in flight. All of it is bounded.
 *
 * <p><b>Thread.</b> Decision logic only: no I/O, clock or threads. Callers pass time and random
 * numbers, and perform the returned sends and writes. Each object is confined to one thread.
 *
 * <p><b>Dependencies.</b> {@code fleet.consensus} agrees on placements; {@code fleet.service}
 * performs the I/O; the emulator does so in virtual time. {@code docs/copies.md} describes the
 * design.
 */
package ochretiller.fleet.replication;
