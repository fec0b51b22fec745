/**
 * Scripts of rehearsals: JSON5, checked against a schema and as a whole, and read into plain
 * values.
 */
package ochretiller.emulator.scenario;
