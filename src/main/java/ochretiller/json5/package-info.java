/** Reads JSON5 files and validates them against a schema: operators' files, emulator scripts. */
package ochretiller.json5;
