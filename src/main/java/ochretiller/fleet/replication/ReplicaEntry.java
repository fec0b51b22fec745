package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a replica knows about one token: a state-based CRDT (Shapiro et al. 2011) that only grows.
 * {@link #merge} is commutative, associative and idempotent, so replicas converge whatever the
 * order and number of transfers. An outcome prevails over claims, a claim over nothing; a claim is
 * released only on its owner's word; no window is ever shortened. Two outcomes of one token, which
 * should not exist, are both kept.
 *
 * @param claims who wants to run the token, or runs it, with the fingerprint of the request
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
     * Claims of one token, released ones included; more come only from a client that retries
     * without end.
     */
    static final int MAX_CLAIMS = 16;

    static final ReplicaEntry EMPTY = new ReplicaEntry(Map.of(), Set.of(), Map.of(), Duration.ZERO);

    /** Estimated memory of an entry, and of each of its parts, without their texts. */
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
     * Returns a claim other than this one that may be running; the first in the order of claims
     * where there are several.
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
     * Returns the outcome; of several, which should not exist, that of the first claim, so that
     * every replica answers alike.
     */
    Optional<ClaimOutcome> canonicalOutcome() {
        return outcomes.values().stream().findFirst();
    }

    /** Returns the claim of {@link #canonicalOutcome}. */
    Optional<ClaimId> completedClaim() {
        return outcomes.keySet().stream().findFirst();
    }

    /**
     * Returns whether the token has two different outcomes: a second run, or a replica that does
     * not tell the truth.
     */
    public boolean hasConflict() {
        if (outcomes.size() < 2) {
            return false;
        }
        // A recovered owner may report one outcome under two of its claims: that is one run.
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

    /**
     * Returns whether the merged entry holds something besides a later expiry that this one lacks.
     */
    boolean lacksAnyOf(ReplicaEntry merged) {
        return !merged.claims.equals(claims)
                || !merged.releasedClaims.equals(releasedClaims)
                || !merged.outcomes.equals(outcomes);
    }

    /**
     * Returns this entry as a receiver holds it at first: chunked results have yet to be
     * transferred.
     */
    ReplicaEntry forTransfer(Duration expiry) {
        Map<ClaimId, ClaimOutcome> transferred = new TreeMap<>();
        outcomes.forEach((id, outcome) -> transferred.put(id, outcome.forTransfer()));
        return new ReplicaEntry(claims, releasedClaims, transferred, expiry);
    }

    /** Returns how far the token has come, as {@link TokenSummary#status} documents. */
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

    /** Returns the bytes that the entry takes in memory and in a message, as an estimate. */
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
