/**
 * Models of what surrounds the admission decisions: servers with their cores and disks, the records
 * service, the network, gateways and clients.
 */
package ochretiller.emulator.simulation;
