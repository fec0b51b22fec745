/**
 * Simulations of server fleets in virtual time, with faults of processes and links: scenarios,
 * their fault schedules, and models that run the server's own membership, replication and rollout
 * code. {@code drill} applies the same scenarios and schedules to real processes.
 */
package ochretiller.emulator.fleet;
