package ochretiller.fleet.replication;

import java.util.Set;

/**
 * The difference between two sets.
 *
 * @param onlyInFirst keys that only the first set has
 * @param onlyInSecond keys that only the second set has
 */
public record SetDifference(Set<Long> onlyInFirst, Set<Long> onlyInSecond) {}
