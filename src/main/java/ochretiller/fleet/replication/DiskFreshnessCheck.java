package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * Finds out, after a restart, whether the disk is as new as what the replica has sent: an image
 * that was put back, or a file that was cut off, lacks changes that others rely on. All peers are
 * asked for the highest change number that they have heard of; a replica whose own number is lower
 * is treated as one without its disk. Until the answer is known the replica does not count (compare
 * recovery in "Viewstamped Replication Revisited", Liskov and Cowling 2012, section 4.3). Not
 * thread-safe; time is handed in.
 */
final class DiskFreshnessCheck {
    private static final Duration QUERY_INTERVAL = Duration.ofMillis(100);

    /** How long all peers are waited for where one at least has answered. */
    private static final Duration MAX_WAIT_FOR_ALL = Duration.ofMillis(1_500);

    /** How long any peer is waited for. */
    private static final Duration MAX_WAIT_FOR_ANY = Duration.ofSeconds(5);

    private final ReplicaState state;
    private final Duration startedAt;
    private final long nonce;
    private final Map<String, Long> reportedNumbers = new HashMap<>();
    private boolean inProgress;
    private Duration nextQuery;
    private long staleDisks;

    /** Results of a look at the replies. */
    enum Progress {
        /** More replies are waited for. */
        WAITING,
        /** Nobody has heard of a later change. */
        FRESH,
        /** A peer has heard of a later change than the disk has. */
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
    long staleDisks() {
        return staleDisks;
    }

    /** Takes a peer's reply; returns whether it belongs to this check. */
    boolean accept(String from, ReplicationMessage.ChangeNumberReply reply) {
        if (!inProgress || reply.nonce() != nonce) {
            return false;
        }
        reportedNumbers.put(from, reply.changeNumber());
        return true;
    }

    /** Ends the check if the replies suffice, and asks again for missing ones otherwise. */
    Progress advance(Duration now) {
        long highest = reportedNumbers.values().stream().mapToLong(Long::longValue).max().orElse(0);
        if (highest > state.changeNumber()) {
            staleDisks++;
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
        // Unreachable peers need not be waited for once most others have answered.
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

    /** Returns what decides the next steps, as text. */
    String describeState() {
        return inProgress ? reportedNumbers.toString() : "";
    }
}
