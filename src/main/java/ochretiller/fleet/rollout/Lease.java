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
 * Whether a server may still act on what it acts on, by its own monotonic clock: a majority of
 * voters has said so, each in answer to a question, and the time counts from the question. A server
 * that slept finds that it ended meanwhile.
 */
public final class Lease {
    private static final int QUESTIONS = 64;

    private final Set<String> voters;
    private final Duration span;
    private final Map<Long, Duration> questions = new HashMap<>();
    private final Map<String, Duration> good = new HashMap<>();
    private long nonce;

    /**
     * @param nonce where its questions begin: answers to a former process are none to this one
     */
    public Lease(Set<String> voters, Duration span, long nonce) {
        this.voters = Set.copyOf(voters);
        this.span = span;
        this.nonce = nonce;
    }

    /** A question that goes to the voters now. */
    public long startRenewal(Duration now) {
        questions.values().removeIf(at -> now.minus(at).compareTo(span) > 0);
        // Guards against a clock that stands: the oldest is of no more use than a new one.
        if (questions.size() >= QUESTIONS) {
            questions.remove(
                    questions.entrySet().stream()
                            .min(Map.Entry.comparingByValue())
                            .orElseThrow()
                            .getKey());
        }
        questions.put(++nonce, now);
        return nonce;
    }

    /** A voter has said to this question that the server may. */
    public void recordGrant(String voter, long question) {
        Duration at = questions.get(question);
        if (at == null || !voters.contains(voter)) {
            return;
        }
        good.merge(voter, at, (a, b) -> a.compareTo(b) >= 0 ? a : b);
    }

    /** When it ends, or the beginning of time where there never was one. */
    public Duration expiresAt() {
        int majority = ReplicaPlacement.quorumSize(voters.size());
        if (good.size() < majority) {
            return Duration.ZERO;
        }
        List<Duration> times = new ArrayList<>(good.values());
        times.sort(Comparator.reverseOrder());
        return times.get(majority - 1).plus(span);
    }

    public boolean isHeld(Duration now) {
        return now.compareTo(expiresAt()) < 0;
    }
}
