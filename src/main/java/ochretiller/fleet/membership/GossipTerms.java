package ochretiller.fleet.membership;

/**
 * How much gossip goes with one message.
 *
 * @param transmitLimit how often each item is sent
 * @param digestsAgree whether the recipient has just shown the same digest: then it knows who is
 *     live, and only suspicions are news to it
 */
record GossipTerms(int transmitLimit, boolean digestsAgree) {}
