/**
 * Experiments: many runs of scenarios, executed in parallel with the same results as in sequence,
 * compared on common random numbers, and reported.
 */
package ochretiller.emulator.experiment;
