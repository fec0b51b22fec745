/**
 * Random incidents within stated ranges, hunted for broken rules and for the worst loss; what is
 * found is cut down. Pure.
 */
package ochretiller.emulator.faultsearch;
