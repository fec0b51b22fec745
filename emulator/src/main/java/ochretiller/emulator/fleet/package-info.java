/**
 * Fleets of servers with faults between them: scripts, their plans, and the servers' own decisions
 * on members in virtual time. Scripts and plans are what {@code drill} plays on processes.
 */
package ochretiller.emulator.fleet;
