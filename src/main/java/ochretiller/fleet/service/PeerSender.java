package ochretiller.fleet.service;

/** Sends messages to other servers of the fleet. */
@FunctionalInterface
interface PeerSender {
    /**
     * Sends a message, which may be lost.
     *
     * @param server name of the receiver; without a live member of this name the message is dropped
     * @param message message of consensus, replication or rollout
     */
    void send(String server, Object message);
}
