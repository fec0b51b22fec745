/**
 * Load balancing over a pool of equivalent workers: which worker gets the next request, how many it
 * may have in flight, when it is ejected and readmitted (outlier detection, slow start), and the
 * budget of retries.
 *
 * <p>{@link ochretiller.pools.WorkerSelector} decides on {@link ochretiller.pools.WorkerHealth}, what
 * is known of each worker. Pure decisions: no sockets, clocks or threads; time and random numbers
 * are passed in, and the caller's one thread owns the state. {@code docs/pools.md} gives the
 * reasons. Neighbours: {@code workers} carries the decisions out, {@code time} has the windows.
 */
package ochretiller.pools;
