/**
 * Metrics of a server: counters and gauges that are updated without locks, and their export to a
 * file on a thread of its own.
 */
package ochretiller.metrics;
