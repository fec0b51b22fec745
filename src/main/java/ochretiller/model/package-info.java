/**
 * Immutable values that admission decisions are made on: operations, invocations, tenants, outcomes
 * of runs and calls, gauges.
 *
 * <p>State: none beyond the values themselves. Thread: any. Neighbours: every other package may use
 * this one; it uses none. Times are durations since the server's start unless a comment says
 * otherwise.
 */
package ochretiller.model;
