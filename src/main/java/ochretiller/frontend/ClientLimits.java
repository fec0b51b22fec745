package ochretiller.frontend;

import java.time.Duration;

/**
 * Limits of client connections.
 *
 * @param connections the maximum number of open connections, over all frontends
 * @param memoryBytes memory of the server in bytes, of which open attempts may use a share
 * @param longestWait the longest time for which a client waits for a response; an incomplete
 *     message that is older is ignored
 * @param idleTimeout initial value for {@link ClientConnections#setIdleTimeout}
 */
public record ClientLimits(
        int connections, long memoryBytes, Duration longestWait, Duration idleTimeout) {}
