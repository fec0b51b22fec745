package ochretiller.fleet.service;

/** Sends messages to other servers of the fleet. */
@FunctionalInterface
interface PeerSender {
    /**
     * Sends a message, which may be lost.
     *
     * @param server name of the receiver; if nobody live bears it, the message is lost
     * @param message of consensus, replication or rollout
     */
    void send(String server, Object message);
}
