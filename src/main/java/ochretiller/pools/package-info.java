/**
 * Load balancing over a pool of equivalent workers: which worker gets the next request, how many it
 * may have in flight, when it is ejected and readmitted (outlier detection, slow start), and the
 * retry budget.
 *
 * <p>{@link ochretiller.pools.WorkerSelector} decides from the {@link
 * ochretiller.pools.WorkerHealth} of each worker. The package has no sockets, clocks or threads:
 * time and random numbers are passed in, and one thread of the caller owns the state. {@code
 * docs/pools.md} gives the reasons. Dependency: {@code time}, for the sliding windows. {@code
 * workers} sends the requests.
 */
package ochretiller.pools;
