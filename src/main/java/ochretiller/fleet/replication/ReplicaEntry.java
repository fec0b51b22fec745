package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A replica's state of one token: a state-based CRDT (Shapiro et al. 2011) that only grows. {@link
 * #merge} is commutative, associative and idempotent, so replicas converge regardless of the order
 * and number of transfers. Outcomes take precedence over claims. Only its owner can release a
 * claim, and no window is ever shortened. If a token has two outcomes by mistake, both are stored.
 *
 * @param claims claims to run the token, with the fingerprints of their requests
 * @param releasedClaims claims whose owner has reported that they never ran
 * @param outcomes outcomes of runs, by claim
 * @param expiresAt end of the idempotency window on this replica's monotonic clock
 */
public record ReplicaEntry(
        Map<ClaimId, String> claims,
        Set<ClaimId> releasedClaims,
        Map<ClaimId, ClaimOutcome> outcomes,
        Duration expiresAt) {
    /**
     * Maximum number of claims of one token, including released ones; only a client that retries
     * endlessly exceeds it.
     */
    static final int MAX_CLAIMS = 16;

    static final ReplicaEntry EMPTY = new ReplicaEntry(Map.of(), Set.of(), Map.of(), Duration.ZERO);

    /** Estimated memory of an entry, and of each of its parts, without their strings. */
    private static final int BASE_BYTES = 96;

    private static final int CLAIM_BYTES = 48;
    private static final int RELEASE_BYTES = 40;
    private static final int OUTCOME_BYTES = 40;

    /** Returns the union of both entries, with the later expiry. */
    public ReplicaEntry merge(ReplicaEntry other) {
        Map<ClaimId, String> allClaims = new TreeMap<>(claims);
        other.claims.forEach(allClaims::putIfAbsent);
        Set<ClaimId> allReleased = new TreeSet<>(releasedClaims);
        allReleased.addAll(other.releasedClaims);
        Map<ClaimId, ClaimOutcome> allOutcomes = new TreeMap<>(outcomes);
        other.outcomes.forEach(
                (id, outcome) -> allOutcomes.merge(id, outcome, ClaimOutcome::merge));
        Duration latest = expiresAt.compareTo(other.expiresAt) > 0 ? expiresAt : other.expiresAt;
        return new ReplicaEntry(allClaims, allReleased, allOutcomes, latest);
    }

    /**
     * Returns a claim other than {@code own} that may be running; the first in claim order if there
     * are several.
     */
    Optional<ClaimId> competingClaim(ClaimId own) {
        for (ClaimId claim : claims.keySet()) {
            if (!claim.equals(own) && !releasedClaims.contains(claim)) {
                return Optional.of(claim);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the outcome. If there are several by mistake, returns that of the first claim, so
     * that all replicas give the same answer.
     */
    Optional<ClaimOutcome> canonicalOutcome() {
        return outcomes.values().stream().findFirst();
    }

    /** Returns the claim of {@link #canonicalOutcome}. */
    Optional<ClaimId> completedClaim() {
        return outcomes.keySet().stream().findFirst();
    }

    /**
     * Returns whether the token has two different outcomes, because it ran twice or a replica
     * reported a false one.
     */
    public boolean hasConflict() {
        if (outcomes.size() < 2) {
            return false;
        }
        // A recovered owner may report one outcome under two of its claims: that is a single run.
        ClaimOutcome first = outcomes.values().iterator().next();
        return outcomes.values().stream().anyMatch(outcome -> differs(outcome, first));
    }

    private static boolean differs(ClaimOutcome one, ClaimOutcome other) {
        return one.succeeded() != other.succeeded()
                || one.checksum() != other.checksum()
                || !one.fingerprint().equals(other.fingerprint());
    }

    ReplicaEntry withExpiry(Duration expiry) {
        return new ReplicaEntry(claims, releasedClaims, outcomes, expiry);
    }

    /** Returns whether the merged entry differs from this one in more than its expiry. */
    boolean differsBesidesExpiry(ReplicaEntry merged) {
        return !merged.claims.equals(claims)
                || !merged.releasedClaims.equals(releasedClaims)
                || !merged.outcomes.equals(outcomes);
    }

    /**
     * Returns this entry as sent to other replicas: chunked results are marked as not present,
     * since they are transferred separately.
     */
    ReplicaEntry forTransfer(Duration expiry) {
        Map<ClaimId, ClaimOutcome> transferred = new TreeMap<>();
        outcomes.forEach((id, outcome) -> transferred.put(id, outcome.forTransfer()));
        return new ReplicaEntry(claims, releasedClaims, transferred, expiry);
    }

    /** Returns the status of the token, as {@link TokenSummary#status} documents it. */
    String status() {
        if (hasConflict()) {
            return "conflict";
        }
        Optional<ClaimOutcome> outcome = canonicalOutcome();
        if (outcome.isPresent()) {
            return outcome.get().succeeded() ? "succeeded" : "failed";
        }
        return releasedClaims.containsAll(claims.keySet()) ? "free" : "claimed";
    }

    /** Returns the estimated size of the entry in memory and in a message, in bytes. */
    int estimatedBytes() {
        int bytes = BASE_BYTES;
        for (Map.Entry<ClaimId, String> claim : claims.entrySet()) {
            bytes += CLAIM_BYTES + claim.getKey().server().length() + claim.getValue().length();
        }
        for (ClaimId released : releasedClaims) {
            bytes += RELEASE_BYTES + released.server().length();
        }
        for (ClaimOutcome outcome : outcomes.values()) {
            bytes += OUTCOME_BYTES + outcome.estimatedBytes();
        }
        return bytes;
    }

    boolean isFull() {
        return claims.size() + releasedClaims.size() >= MAX_CLAIMS;
    }

    ReplicaEntry withClaim(ClaimId id, String fingerprint, Duration expiry) {
        return merge(new ReplicaEntry(Map.of(id, fingerprint), Set.of(), Map.of(), expiry));
    }

    ReplicaEntry withRelease(ClaimId id, Duration expiry) {
        return merge(new ReplicaEntry(Map.of(), Set.of(id), Map.of(), expiry));
    }

    ReplicaEntry withOutcome(ClaimId id, ClaimOutcome outcome, Duration expiry) {
        return merge(
                new ReplicaEntry(
                        Map.of(id, outcome.fingerprint()), Set.of(), Map.of(id, outcome), expiry));
    }
}
