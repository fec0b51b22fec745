/**
 * Checks whether the four rules held in a run. The checker receives events from the simulation,
 * never from the admission decisions.
 */
package ochretiller.emulator.rules;
