/**
 * Many runs of scripts: in parallel with the same outcome as one after another, compared on the
 * same chance, and reported.
 */
package ochretiller.emulator.experiment;
