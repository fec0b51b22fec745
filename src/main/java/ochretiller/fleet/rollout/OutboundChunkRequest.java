package ochretiller.fleet.rollout;

/**
 * A chunk request and its recipient.
 *
 * @param recipient name of the server to send to
 * @param request the message to send
 */
public record OutboundChunkRequest(String recipient, RolloutMessage.ChunkRequest request) {}
