package ochretiller.fleet.replication;

import java.util.List;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * What the parts of a {@link ClaimCoordinator} share: who this server is, the epoch it has adopted,
 * what it knows about the replicas' responsiveness, and the messages that wait to be sent. Not
 * thread-safe.
 */
final class CoordinatorState {
    private final String name;
    private final long incarnation;
    private final Outbox outbox = new Outbox();
    private final UnresponsivePeers unresponsive = new UnresponsivePeers();
    private final ReplicaLatency latency = new ReplicaLatency();
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

    UnresponsivePeers unresponsive() {
        return unresponsive;
    }

    ReplicaLatency latency() {
        return latency;
    }

    /**
     * Sends a message that the replica has to answer: until it does, it may turn out to be
     * unresponsive.
     */
    void sendRequest(String replica, ReplicationMessage request) {
        unresponsive.recordUnanswered(replica);
        outbox.send(replica, request);
    }
}
