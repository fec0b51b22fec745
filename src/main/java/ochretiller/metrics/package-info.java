/**
 * One place for the figures that a server tells of itself; they are counted without locks and read
 * by another thread.
 */
package ochretiller.metrics;
