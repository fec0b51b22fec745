/** Spans of time and sums over the last of it. */
package ochretiller.time;
