/**
 * Discrete events in virtual time, and a random stream for each component. Uses no wall clock and
 * no threads.
 */
package ochretiller.emulator.core;
