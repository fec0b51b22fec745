package ochretiller.fleet.consensus;

import java.util.Optional;

/**
 * A message to send.
 *
 * @param recipient the name of a server; empty for all other acceptors
 */
public record OutboundConsensusMessage(Optional<String> recipient, ConsensusMessage message) {}
