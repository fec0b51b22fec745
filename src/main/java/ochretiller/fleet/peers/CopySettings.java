package ochretiller.fleet.peers;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * How a fleet keeps claims and results of tokened invocations.
 *
 * @param voters    names of the servers that agree on epochs, the same everywhere
 * @param voterFile where this server keeps what it has promised, if it is a voter; null otherwise
 * @param factor    keepers of each token
 * @param most      entries that this server keeps
 * @param calm      how long a server is there, or gone, before it is taken in or out
 */
public record CopySettings(List<String> voters, Path voterFile, int factor, int most, Duration calm) {
}
