package ochretiller.fleet.service;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import ochretiller.fleet.replication.ClaimModeSettings;

/**
 * Settings for replicating claims and outcomes of keyed invocations.
 *
 * @param voters names of the acceptors, which agree on epochs; the same on all servers
 * @param voterFile file of this server's acceptor state; null if it is not an acceptor
 * @param replicationFactor number of replicas of each token
 * @param maxEntries maximum number of entries that this server stores
 * @param maxBytes maximum estimated size of those entries in bytes; chunked results in memory may
 *     use half as much in addition
 * @param calm time that a server must be live before the placement adds it, or not live before the
 *     placement removes it
 * @param antiEntropyBytesPerSecond rate limit for entries that this server fetches while catching
 *     up, and the same limit for entries that it sends to others
 * @param modes claim modes of operations
 * @param versions settings of rollouts; null if there are none
 */
public record ReplicationSettings(
        List<String> voters,
        Path voterFile,
        int replicationFactor,
        int maxEntries,
        long maxBytes,
        Duration calm,
        long antiEntropyBytesPerSecond,
        ClaimModeSettings modes,
        RolloutSettings versions) {}
