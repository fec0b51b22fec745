package ochretiller.fleet.consensus;

/**
 * A server that holds replicas.
 *
 * @param name outlives its restarts, as its disk does
 * @param zone the failure domain that it shares with others
 */
public record ReplicaServer(String name, String zone) {}
