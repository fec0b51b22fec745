package ochretiller.fleet.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * The holder's side of a lease (Gray and Cheriton 1989). A server may run keyed invocations while a
 * majority of the acceptors has granted its lease, by its own monotonic clock. Each grant counts
 * from the time of its request, so no common clock is needed, and a server that resumes after a
 * pause finds its lease expired before it acts. Not thread-safe.
 */
public final class Lease {
    /** Maximum number of renewal requests whose replies are accepted. */
    private static final int MAX_OUTSTANDING = 64;

    private final Set<String> acceptors;
    private final Duration duration;
    private final Map<Long, Duration> requestedAt = new HashMap<>();
    private final Map<String, Duration> grantedRequestTimes = new HashMap<>();
    private long lastRequestId;

    /**
     * Creates a lease that is not held.
     *
     * @param acceptors names of the acceptors
     * @param duration how long a grant lasts
     * @param lastRequestId the first request ID is the next number; choose it at random, so that
     *     replies to a previous process do not match requests of this one
     */
    public Lease(Set<String> acceptors, Duration duration, long lastRequestId) {
        this.acceptors = Set.copyOf(acceptors);
        this.duration = duration;
        this.lastRequestId = lastRequestId;
    }

    /** Starts a renewal and returns the ID of the request, to be sent to the acceptors now. */
    public long startRenewal(Duration now) {
        requestedAt.values().removeIf(at -> now.minus(at).compareTo(duration) > 0);
        if (requestedAt.size() >= MAX_OUTSTANDING) {
            removeOldestRequest();
        }
        requestedAt.put(++lastRequestId, now);
        return lastRequestId;
    }

    /** Bounds the number of requests even if the clock stands still; old ones are least useful. */
    private void removeOldestRequest() {
        requestedAt.entrySet().stream()
                .min(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .ifPresent(requestedAt::remove);
    }

    /**
     * Records that an acceptor has granted a renewal. Replies from other servers or to unknown
     * requests are ignored.
     */
    public void recordGrant(String acceptor, long requestId) {
        Duration at = requestedAt.get(requestId);
        if (at != null && acceptors.contains(acceptor)) {
            grantedRequestTimes.merge(
                    acceptor, at, (one, other) -> one.compareTo(other) >= 0 ? one : other);
        }
    }

    /** Returns when the lease expires, in monotonic time; zero if no majority ever granted it. */
    public Duration expiresAt() {
        int majority = ReplicaPlacement.quorumSize(acceptors.size());
        if (grantedRequestTimes.size() < majority) {
            return Duration.ZERO;
        }
        List<Duration> latestFirst = new ArrayList<>(grantedRequestTimes.values());
        latestFirst.sort(Comparator.reverseOrder());
        return latestFirst.get(majority - 1).plus(duration);
    }

    /** Returns whether the lease is held; must be checked immediately before a protected action. */
    public boolean isHeld(Duration now) {
        return now.compareTo(expiresAt()) < 0;
    }
}
