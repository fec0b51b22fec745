/**
 * The link to the processor that does the work: runs, notices once and in order, gauges, deep
 * checks.
 */
package ochretiller.processor;
