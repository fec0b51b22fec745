package ochretiller.fleet.copies;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a keeper has of one token. Two copies become one by {@link #join}, in any order and any
 * number of times with the same outcome: a result goes over claims, a claim over nothing, a claim
 * is released only by the owner's own word, and no window is ever shortened. What must not exist,
 * two results of one token, is kept whole.
 *
 * @param claims who wants to run it, or runs it, with the hash of what was asked for
 * @param released claims whose owner has said that they never ran
 * @param outcomes ends of runs, by their claims
 * @param until end of its window on the keeper's clock
 */
public record Entry(
        Map<ClaimId, String> claims,
        Set<ClaimId> released,
        Map<ClaimId, Outcome> outcomes,
        Duration until) {
    /** Claims of one token, released ones among them: more are a caller's who tries without end. */
    static final int MOST = 16;

    static final Entry NOTHING = new Entry(Map.of(), Set.of(), Map.of(), Duration.ZERO);

    public Entry join(Entry other) {
        Map<ClaimId, String> allClaims = new TreeMap<>(claims);
        other.claims.forEach(allClaims::putIfAbsent);
        Set<ClaimId> allReleased = new TreeSet<>(released);
        allReleased.addAll(other.released);
        Map<ClaimId, Outcome> allOutcomes = new TreeMap<>(outcomes);
        other.outcomes.forEach((id, outcome) -> allOutcomes.merge(id, outcome, Outcome::join));
        return new Entry(
                allClaims,
                allReleased,
                allOutcomes,
                until.compareTo(other.until) > 0 ? until : other.until);
    }

    /**
     * The claim that may be running, other than this one; the first by its name where there are
     * several.
     */
    Optional<ClaimId> other(ClaimId mine) {
        for (ClaimId each : claims.keySet()) {
            if (!each.equals(mine) && !released.contains(each)) {
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }

    /**
     * How it ended; of several ends, which must not exist, the same one everywhere: that of the
     * first claim by its name.
     */
    Optional<Outcome> outcome() {
        return outcomes.values().stream().findFirst();
    }

    /** The claim whose end that is. */
    Optional<ClaimId> ended() {
        return outcomes.keySet().stream().findFirst();
    }

    /** Two ends of one token: a second run, or a keeper that lies. */
    public boolean conflict() {
        if (outcomes.size() < 2) {
            return false;
        }
        Outcome first = outcomes.values().iterator().next();
        // An owner that has come back may tell one end under two of its claims: that is one run.
        return outcomes.values().stream()
                .anyMatch(
                        each ->
                                each.succeeded() != first.succeeded()
                                        || each.sum() != first.sum()
                                        || !each.body().equals(first.body()));
    }

    /** As another hears of it: long results have yet to come. */
    Entry told(Duration window) {
        Map<ClaimId, Outcome> told = new TreeMap<>();
        outcomes.forEach((id, outcome) -> told.put(id, outcome.told()));
        return new Entry(claims, released, told, window);
    }

    /** How far it is, in a word. */
    String how() {
        if (conflict()) {
            return "conflict";
        }
        if (!outcomes.isEmpty()) {
            return outcome().orElseThrow().succeeded() ? "succeeded" : "failed";
        }
        return claims.keySet().stream().allMatch(released::contains) ? "free" : "claimed";
    }

    /** Memory and way that it takes, in bytes, as reckoned. */
    int bytes() {
        int bytes = 96;
        for (Map.Entry<ClaimId, String> each : claims.entrySet()) {
            bytes += 48 + each.getKey().server().length() + each.getValue().length();
        }
        for (ClaimId each : released) {
            bytes += 40 + each.server().length();
        }
        for (Outcome each : outcomes.values()) {
            bytes += 40 + each.bytes();
        }
        return bytes;
    }

    boolean full() {
        return claims.size() + released.size() >= MOST;
    }

    Entry claimed(ClaimId id, String body, Duration window) {
        return join(new Entry(Map.of(id, body), Set.of(), Map.of(), window));
    }

    Entry release(ClaimId id, Duration window) {
        return join(new Entry(Map.of(), Set.of(id), Map.of(), window));
    }

    Entry ended(ClaimId id, Outcome outcome, Duration window) {
        return join(new Entry(Map.of(id, outcome.body()), Set.of(), Map.of(id, outcome), window));
    }
}
