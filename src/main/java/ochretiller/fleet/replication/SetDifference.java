package ochretiller.fleet.replication;

import java.util.Set;

/**
 * How two sets differ.
 *
 * @param onlyHere keys that only the first set has
 * @param onlyThere keys that only the second set has
 */
public record SetDifference(Set<Long> onlyHere, Set<Long> onlyThere) {}
