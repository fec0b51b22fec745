/**
 * Immutable values used by admission decisions: operations, invocations, tenants, outcomes of runs
 * and calls, gauges.
 *
 * <p>State: none beyond the values themselves. Thread: any. Dependencies: every other package may
 * use this one; it uses none. Points in time are durations since the server's start unless
 * documented otherwise.
 */
package ochretiller.model;
