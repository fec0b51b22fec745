/**
 * Scenario scripts in JSON5: validated against a schema and for consistency, then read into
 * immutable records.
 */
package ochretiller.emulator.scenario;
