package ochretiller.fleet.membership;

/**
 * Selects the gossip for one message.
 *
 * @param transmitLimit how often each update is sent
 * @param digestsAgree whether the recipient has just sent an equal digest: then its view has the
 *     same live members, and only suspicions may be new to it
 */
record GossipOptions(int transmitLimit, boolean digestsAgree) {}
