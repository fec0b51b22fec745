package ochretiller.fleet.consensus;

/**
 * A server that holds replicas.
 *
 * @param name the configured name, which like the server's disk survives a restart
 * @param zone the failure domain that it shares with other servers
 */
public record ReplicaServer(String name, String zone) {}
