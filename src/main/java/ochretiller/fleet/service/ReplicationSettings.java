package ochretiller.fleet.service;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import ochretiller.fleet.replication.ClaimModeSettings;

/**
 * How a fleet keeps claims and results of tokened invocations.
 *
 * @param voters names of the servers that agree on epochs, the same everywhere
 * @param voterFile where this server keeps what it has promised, if it is a voter; null otherwise
 * @param factor keepers of each token
 * @param most entries that this server keeps
 * @param mostBytes of those entries, as reckoned, and half as much for long results that are kept
 *     in memory
 * @param calm how long a server is there, or gone, before it is taken in or out
 * @param catchUp bytes a second that are fetched by one that catches up, and as many that are sent
 *     to others who do
 * @param versions how versions are brought out, or null
 * @param modes which operations run once in the fleet
 */
public record ReplicationSettings(
        List<String> voters,
        Path voterFile,
        int factor,
        int most,
        long mostBytes,
        Duration calm,
        long catchUp,
        ClaimModeSettings modes,
        RolloutSettings versions) {}
