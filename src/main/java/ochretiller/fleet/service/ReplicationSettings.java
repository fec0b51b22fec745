package ochretiller.fleet.service;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import ochretiller.fleet.replication.ClaimModeSettings;

/**
 * Settings for replicating claims and outcomes of keyed invocations.
 *
 * @param acceptors names of the acceptors, which agree on epochs; the same on all servers
 * @param acceptorFile file of this server's acceptor state; null if it is not an acceptor
 * @param replicationFactor number of replicas of each token
 * @param maxEntries maximum number of entries that this server stores
 * @param maxBytes maximum estimated size of those entries in bytes; chunked results in memory may
 *     use half as much in addition
 * @param stabilityPeriod time that a server must be live before the placement adds it, or not live
 *     before the placement removes it
 * @param antiEntropyBytesPerSecond rate limit for entries that this server fetches while catching
 *     up, and the same limit for entries that it sends to others
 * @param claimModes claim modes of operations
 * @param rollout settings of rollouts; null if there are none
 */
public record ReplicationSettings(
        List<String> acceptors,
        Path acceptorFile,
        int replicationFactor,
        int maxEntries,
        long maxBytes,
        Duration stabilityPeriod,
        long antiEntropyBytesPerSecond,
        ClaimModeSettings claimModes,
        RolloutSettings rollout) {}
