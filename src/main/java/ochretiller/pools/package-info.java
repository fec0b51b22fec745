/**
 * Decisions on a pool of workers that do the same: which one gets the next request, how many it may
 * have, when it is left out and how it is let in again, and how much may be tried a second time. No
 * sockets, clocks or threads: time and chance are handed in. {@code docs/pools.md} tells why.
 */
package ochretiller.pools;
