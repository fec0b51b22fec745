package ochretiller.fleet.replication;

import static ochretiller.time.Durations.timeUntil;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import ochretiller.collections.BoundedMap;

/**
 * Releases claims that never ran, so that other servers may claim their tokens, and repeats a
 * release on request. Not thread-safe; callers pass the time.
 */
final class ClaimReleases {
    /** Maximum number of released claims kept in memory to repeat their releases on request. */
    private static final int MAX_RELEASED_CLAIMS = 20_000;

    private final CoordinatorState state;
    private final Map<ClaimId, Duration> windowEnds =
            BoundedMap.evictingOldest(MAX_RELEASED_CLAIMS);

    ClaimReleases(CoordinatorState state) {
        this.state = state;
    }

    void release(String token, ClaimId claimId, Duration windowEnd, Duration now) {
        windowEnds.put(claimId, windowEnd);
        for (String replica : state.replicasOf(token)) {
            sendRelease(replica, token, claimId, timeUntil(windowEnd, now));
        }
    }

    /** Repeats the release if the claim in question was released; ignores the query otherwise. */
    void onOwnerQuery(String from, ReplicationMessage.OwnerQuery query, Duration now) {
        Duration windowEnd = windowEnds.get(query.claimId());
        if (windowEnd == null) {
            return;
        }
        sendRelease(from, query.token(), query.claimId(), timeUntil(windowEnd, now));
        release(query.token(), query.claimId(), windowEnd, now);
    }

    private void sendRelease(String to, String token, ClaimId claimId, Duration remaining) {
        state.outbox().send(to, new ReplicationMessage.ClaimRelease(token, claimId, remaining));
    }

    Set<ClaimId> releasedClaims() {
        return windowEnds.keySet();
    }
}
