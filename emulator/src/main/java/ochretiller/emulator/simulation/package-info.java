/**
 * Models of what is round the decisions: boxes with their cores, the ledger, the network, gateways
 * and callers.
 */
package ochretiller.emulator.simulation;
