/**
 * Arithmetic on durations, and sums over sliding windows of time.
 *
 * <p>There is no clock here; callers pass in points in time as durations since the server's start.
 * Used by all packages that make decisions; depends on no other package. Not thread-safe.
 */
package ochretiller.time;
