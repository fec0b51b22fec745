package ochretiller.fleet.replication;

import java.util.Set;

/**
 * The difference between two sets.
 *
 * @param onlyHere keys that only the first set has
 * @param onlyThere keys that only the second set has
 */
public record SetDifference(Set<Long> onlyHere, Set<Long> onlyThere) {}
