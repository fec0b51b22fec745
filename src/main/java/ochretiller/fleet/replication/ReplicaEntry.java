package ochretiller.fleet.replication;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a keeper has of one token. Two copies become one by {@link #merge}, in any order and any
 * number of times with the same outcome: a result goes over claims, a claim over nothing, a claim
 * is released only by the owner's own word, and no window is ever shortened. What must not exist,
 * two results of one token, is kept whole.
 *
 * @param claims who wants to run it, or runs it, with the hash of what was asked for
 * @param releasedClaims claims whose owner has said that they never ran
 * @param outcomes ends of runs, by their claims
 * @param expiresAt end of its window on the keeper's clock
 */
public record ReplicaEntry(
        Map<ClaimId, String> claims,
        Set<ClaimId> releasedClaims,
        Map<ClaimId, ClaimOutcome> outcomes,
        Duration expiresAt) {
    /** Claims of one token, released ones among them: more are a caller's who tries without end. */
    static final int MAX_CLAIMS = 16;

    static final ReplicaEntry EMPTY = new ReplicaEntry(Map.of(), Set.of(), Map.of(), Duration.ZERO);

    public ReplicaEntry merge(ReplicaEntry other) {
        Map<ClaimId, String> allClaims = new TreeMap<>(claims);
        other.claims.forEach(allClaims::putIfAbsent);
        Set<ClaimId> allReleased = new TreeSet<>(releasedClaims);
        allReleased.addAll(other.releasedClaims);
        Map<ClaimId, ClaimOutcome> allOutcomes = new TreeMap<>(outcomes);
        other.outcomes.forEach(
                (id, outcome) -> allOutcomes.merge(id, outcome, ClaimOutcome::merge));
        return new ReplicaEntry(
                allClaims,
                allReleased,
                allOutcomes,
                expiresAt.compareTo(other.expiresAt) > 0 ? expiresAt : other.expiresAt);
    }

    /**
     * The claim that may be running, other than this one; the first by its name where there are
     * several.
     */
    Optional<ClaimId> competingClaim(ClaimId mine) {
        for (ClaimId each : claims.keySet()) {
            if (!each.equals(mine) && !releasedClaims.contains(each)) {
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }

    /**
     * How it ended; of several ends, which must not exist, the same one everywhere: that of the
     * first claim by its name.
     */
    Optional<ClaimOutcome> canonicalOutcome() {
        return outcomes.values().stream().findFirst();
    }

    /** The claim whose end that is. */
    Optional<ClaimId> withOutcome() {
        return outcomes.keySet().stream().findFirst();
    }

    /** Two ends of one token: a second run, or a keeper that lies. */
    public boolean hasConflict() {
        if (outcomes.size() < 2) {
            return false;
        }
        ClaimOutcome first = outcomes.values().iterator().next();
        // An owner that has come back may tell one end under two of its claims: that is one run.
        return outcomes.values().stream()
                .anyMatch(
                        each ->
                                each.succeeded() != first.succeeded()
                                        || each.checksum() != first.checksum()
                                        || !each.fingerprint().equals(first.fingerprint()));
    }

    /** As another hears of it: long results have yet to come. */
    ReplicaEntry forTransfer(Duration window) {
        Map<ClaimId, ClaimOutcome> told = new TreeMap<>();
        outcomes.forEach((id, outcome) -> told.put(id, outcome.forTransfer()));
        return new ReplicaEntry(claims, releasedClaims, told, window);
    }

    /** How far it is, in a word. */
    String status() {
        if (hasConflict()) {
            return "conflict";
        }
        if (!outcomes.isEmpty()) {
            return canonicalOutcome().orElseThrow().succeeded() ? "succeeded" : "failed";
        }
        return claims.keySet().stream().allMatch(releasedClaims::contains) ? "free" : "claimed";
    }

    /** Memory and way that it takes, in bytes, as reckoned. */
    int estimatedBytes() {
        int bytes = 96;
        for (Map.Entry<ClaimId, String> each : claims.entrySet()) {
            bytes += 48 + each.getKey().server().length() + each.getValue().length();
        }
        for (ClaimId each : releasedClaims) {
            bytes += 40 + each.server().length();
        }
        for (ClaimOutcome each : outcomes.values()) {
            bytes += 40 + each.estimatedBytes();
        }
        return bytes;
    }

    boolean isFull() {
        return claims.size() + releasedClaims.size() >= MAX_CLAIMS;
    }

    ReplicaEntry withClaim(ClaimId id, String body, Duration window) {
        return merge(new ReplicaEntry(Map.of(id, body), Set.of(), Map.of(), window));
    }

    ReplicaEntry withRelease(ClaimId id, Duration window) {
        return merge(new ReplicaEntry(Map.of(), Set.of(id), Map.of(), window));
    }

    ReplicaEntry withOutcome(ClaimId id, ClaimOutcome outcome, Duration window) {
        return merge(
                new ReplicaEntry(
                        Map.of(id, outcome.fingerprint()), Set.of(), Map.of(id, outcome), window));
    }
}
