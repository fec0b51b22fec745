package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * State shared by the parts of one {@link Replica}: the adopted epoch, the entries, the number of
 * the last change, and the messages to send. Not thread-safe.
 */
final class ReplicaState {
    private final String name;
    private final ReplicaLimits limits;
    private final ReplicaEntries entries = new ReplicaEntries();
    private final HandoffHints hints = new HandoffHints();
    private final Outbox outbox = new Outbox();
    private final Set<Integer> unreliableRanges = new HashSet<>();
    private ReplicaPlacement placement;
    private long changeNumber;
    private boolean metadataChanged;

    ReplicaState(String name, ReplicaLimits limits, ReplicaPlacement placement, long changeNumber) {
        this.name = name;
        this.limits = limits;
        this.placement = placement;
        this.changeNumber = changeNumber;
    }

    String name() {
        return name;
    }

    ReplicaLimits limits() {
        return limits;
    }

    ReplicaEntries entries() {
        return entries;
    }

    HandoffHints hints() {
        return hints;
    }

    Outbox outbox() {
        return outbox;
    }

    /** Returns the placement of the adopted epoch. */
    ReplicaPlacement placement() {
        return placement;
    }

    long epoch() {
        return placement.epoch();
    }

    void adopt(ReplicaPlacement next) {
        placement = next;
        metadataChanged = true;
    }

    /**
     * Returns the ranges that the replica had in the previous epoch, but of which its copy may be
     * incomplete. The set is mutable.
     */
    Set<Integer> unreliableRanges() {
        return unreliableRanges;
    }

    /** Returns the number of the last change. */
    long changeNumber() {
        return changeNumber;
    }

    void advanceChangeNumber(long number) {
        changeNumber = number;
    }

    void markMetadataChanged() {
        metadataChanged = true;
    }

    /** Returns whether the metadata has changed since the last call. */
    boolean takeMetadataChanged() {
        boolean taken = metadataChanged;
        metadataChanged = false;
        return taken;
    }

    void put(String token, ReplicaEntry entry) {
        if (!entries.put(token, entry, changeNumber + 1)) {
            return;
        }
        changeNumber++;
        int range = ReplicaPlacement.rangeOf(token);
        hints.recordChange(range, placement.replicasOf(range));
    }

    /** Returns whether this server is a replica of the range in the adopted epoch. */
    boolean replicates(int range) {
        return placement.replicasOf(range).contains(name);
    }

    /**
     * Returns the other replicas of a range, in the placement's order; empty if this server does
     * not replicate it.
     */
    List<String> peersOf(int range) {
        List<String> replicas = placement.replicasOf(range);
        if (!replicas.contains(name)) {
            return List.of();
        }
        return replicas.stream().filter(replica -> !replica.equals(name)).toList();
    }

    /**
     * Returns the end of a window of which a peer reports this remaining time, capped at the
     * longest window.
     */
    Duration expiryAfter(Duration remaining, Duration now) {
        return now.plus(
                remaining.compareTo(limits.maxWindow()) < 0 ? remaining : limits.maxWindow());
    }

    ReplicationMessage.RangeDigest rangeDigest(int range, boolean isReply) {
        return new ReplicationMessage.RangeDigest(
                epoch(), range, entries.rangeDigest(range), entries.entryCount(range), isReply);
    }
}
