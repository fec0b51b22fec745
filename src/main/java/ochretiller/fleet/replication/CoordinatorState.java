package ochretiller.fleet.replication;

import java.util.List;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * State shared by the parts of a {@link ClaimCoordinator}: this server's identity, the adopted
 * epoch, the latency and responsiveness of replicas, and the messages to send. Not thread-safe.
 */
final class CoordinatorState {
    private final String name;
    private final long incarnation;
    private final Outbox outbox = new Outbox();
    private final UnresponsivePeers unresponsivePeers = new UnresponsivePeers();
    private final ReplicaLatency replicaLatency = new ReplicaLatency();
    private ReplicaPlacement placement;
    private long lastSequence;

    CoordinatorState(String name, long incarnation, ReplicaPlacement placement) {
        this.name = name;
        this.incarnation = incarnation;
        this.placement = placement;
    }

    ClaimId newClaimId() {
        return new ClaimId(name, incarnation, ++lastSequence);
    }

    ReplicaPlacement placement() {
        return placement;
    }

    void adopt(ReplicaPlacement next) {
        placement = next;
    }

    long epoch() {
        return placement.epoch();
    }

    List<String> replicasOf(String token) {
        return placement.replicasOf(ReplicaPlacement.rangeOf(token));
    }

    /** Returns how many replicas of the token have to agree. */
    int quorumOf(String token) {
        return ReplicaPlacement.quorumSize(replicasOf(token).size());
    }

    Outbox outbox() {
        return outbox;
    }

    UnresponsivePeers unresponsivePeers() {
        return unresponsivePeers;
    }

    ReplicaLatency replicaLatency() {
        return replicaLatency;
    }

    /**
     * Sends a message that the replica has to answer, and counts it as unanswered until the replica
     * replies.
     */
    void sendRequest(String replica, ReplicationMessage request) {
        unresponsivePeers.recordUnanswered(replica);
        outbox.send(replica, request);
    }
}
