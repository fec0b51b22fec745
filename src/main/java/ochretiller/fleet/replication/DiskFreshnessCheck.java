package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Checks, after a restart, whether the disk contains all changes that the replica has sent: a
 * restored disk image or a truncated file lacks changes that others rely on. Asks all peers for the
 * highest change number that they have observed from this replica; if its own number is lower, the
 * replica is treated as one that has lost its disk. It does not vote until the check has ended
 * (compare recovery in "Viewstamped Replication Revisited", Liskov and Cowling 2012, section 4.3).
 * Not thread-safe; callers pass the time.
 */
final class DiskFreshnessCheck {
    private static final Duration QUERY_INTERVAL = Duration.ofMillis(100);

    /** Maximum wait for the replies of all peers if at least one has answered. */
    private static final Duration MAX_WAIT_FOR_ALL = Duration.ofMillis(1_500);

    /** Maximum wait if no peer has answered. */
    private static final Duration MAX_WAIT_FOR_ANY = Duration.ofSeconds(5);

    private final ReplicaState state;
    private final Duration startedAt;
    private final long nonce;
    private final Map<String, Long> reportedNumbers = new HashMap<>();
    private boolean inProgress;
    private Duration nextQuery;
    private long staleDiskCount;

    /** Results of evaluating the replies. */
    enum Progress {
        /** More replies are needed. */
        WAITING,
        /** No peer has observed a later change than the disk has. */
        FRESH,
        /** A peer has observed a later change than the disk has. */
        STALE
    }

    /**
     * @param needed whether the disk may be older than the last message sent
     */
    DiskFreshnessCheck(ReplicaState state, boolean needed, Duration now) {
        this.state = state;
        this.inProgress = needed;
        this.startedAt = now;
        this.nonce = state.changeNumber();
        this.nextQuery = now;
    }

    boolean isInProgress() {
        return inProgress;
    }

    /** Returns how often the disk was found to be stale. */
    long staleDiskCount() {
        return staleDiskCount;
    }

    /** Records a peer's reply; returns whether it belongs to this check. */
    boolean accept(String from, ReplicationMessage.ChangeNumberReply reply) {
        if (!inProgress || reply.nonce() != nonce) {
            return false;
        }
        reportedNumbers.put(from, reply.changeNumber());
        return true;
    }

    /** Ends the check if the replies suffice; otherwise queries missing peers when due. */
    Progress advance(Duration now) {
        long highest = reportedNumbers.values().stream().mapToLong(Long::longValue).max().orElse(0);
        if (highest > state.changeNumber()) {
            staleDiskCount++;
            state.advanceChangeNumber(highest + 1);
            inProgress = false;
            return Progress.STALE;
        }
        Set<String> peers = peers(state.placement());
        if (hasEnoughReplies(peers, now)) {
            inProgress = false;
            return Progress.FRESH;
        }
        if (now.compareTo(nextQuery) >= 0) {
            nextQuery = now.plus(QUERY_INTERVAL);
            query(peers);
        }
        return Progress.WAITING;
    }

    private Set<String> peers(ReplicaPlacement placement) {
        Set<String> peers = new HashSet<>();
        placement.servers().stream()
                .map(server -> server.name())
                .filter(name -> !name.equals(state.name()))
                .forEach(peers::add);
        return peers;
    }

    private boolean hasEnoughReplies(Set<String> peers, Duration now) {
        Duration waited = now.minus(startedAt);
        Set<String> missing = new HashSet<>(peers);
        missing.removeAll(reportedNumbers.keySet());
        if (missing.isEmpty() || waited.compareTo(MAX_WAIT_FOR_ANY) >= 0) {
            return true;
        }
        // Do not wait for unreachable peers if a majority of all peers has answered.
        boolean majority = reportedNumbers.size() >= ReplicaPlacement.quorumSize(peers.size());
        if (majority && state.hints().areUnreachable(missing)) {
            return true;
        }
        return !reportedNumbers.isEmpty() && waited.compareTo(MAX_WAIT_FOR_ALL) >= 0;
    }

    private void query(Set<String> peers) {
        for (String peer : peers) {
            if (!reportedNumbers.containsKey(peer)) {
                state.outbox().send(peer, new ReplicationMessage.ChangeNumberQuery(nonce));
            }
        }
    }

    /** Returns the state that determines future behaviour, as text. */
    String describeState() {
        return inProgress ? reportedNumbers.toString() : "";
    }
}
