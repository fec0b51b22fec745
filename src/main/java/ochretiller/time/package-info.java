/**
 * Arithmetic on durations, and sums over sliding windows of time.
 *
 * <p>Pure: there is no clock here, points in time are handed in as the time since the start of a
 * server. Used by all packages that decide; depends on nothing. Objects belong to one thread.
 */
package ochretiller.time;
