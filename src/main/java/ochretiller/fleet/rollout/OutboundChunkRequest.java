package ochretiller.fleet.rollout;

/**
 * A chunk request and the server that it is addressed to.
 *
 * @param recipient name of the server
 * @param request what to send
 */
public record OutboundChunkRequest(String recipient, RolloutMessage.ChunkRequest request) {}
