/**
 * What carries runs out: the port that the link to the processor and the pools of workers share.
 */
package ochretiller.execution;
