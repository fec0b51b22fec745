/**
 * Whether the four rules held in a run. It hears of what happened from the world, never from the
 * decisions.
 */
package ochretiller.emulator.rules;
