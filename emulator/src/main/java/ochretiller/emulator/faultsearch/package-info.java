/**
 * Random search for incidents, within given ranges, that break a rule or lose the most value; the
 * incidents found are shrunk. Does no I/O.
 */
package ochretiller.emulator.faultsearch;
