/**
 * Contracts between teams and a broker, and the checks that they are consistent as a whole. Files
 * are read elsewhere.
 */
package ochretiller.contracts;
