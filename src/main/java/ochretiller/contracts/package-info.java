/**
 * Contracts between teams and a broker, held against one another as a whole. Plain values and
 * decisions; files are read elsewhere.
 */
package ochretiller.contracts;
