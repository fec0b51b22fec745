package ochretiller.fleet.consensus;

import java.util.Optional;

/**
 * A message to send.
 *
 * @param recipient name of the server; empty for all other acceptors
 */
public record OutboundConsensusMessage(Optional<String> recipient, ConsensusMessage message) {}
