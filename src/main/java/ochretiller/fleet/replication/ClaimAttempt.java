package ochretiller.fleet.replication;

import static ochretiller.time.Durations.min;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * One keyed invocation on its way to a decision. It either claims its token, or, after it gave way
 * to another server's claim, queries the replicas from time to time for that claim's outcome. Not
 * thread-safe; time and random numbers are handed in.
 */
final class ClaimAttempt {
    /** Pause between two queries: doubled from the first to the longest, and spread by chance. */
    private static final Duration FIRST_QUERY_PAUSE = Duration.ofMillis(40);

    static final Duration MAX_QUERY_PAUSE = Duration.ofMillis(640);

    private final ClaimIntent intent;
    private final Consumer<ClaimDecision> onDecision;

    /** Replies to the present claim or query, by replica. */
    private final Map<String, ReplicationMessage.ClaimReply> replies = new TreeMap<>();

    /**
     * Competing claims whose owners were asked whether they run, under the present claim or query.
     */
    private final Set<ClaimId> queriedOwners = new HashSet<>();

    private ClaimId claimId;
    private boolean claiming = true;
    private Duration claimingSince;
    private Duration requestedAt;
    private Duration queryPause = FIRST_QUERY_PAUSE;
    private Optional<Duration> nextQueryAt = Optional.empty();

    /** Replicas in the order in which they are asked. */
    private List<String> replicas = List.of();

    /** How many of them were asked. */
    private int contacted;

    private Optional<ClaimId> awaitedResult = Optional.empty();
    private boolean competitorSeen;

    ClaimAttempt(
            ClaimIntent intent, ClaimId claimId, Consumer<ClaimDecision> onDecision, Duration now) {
        this.intent = intent;
        this.claimId = claimId;
        this.onDecision = onDecision;
        this.claimingSince = now;
        this.requestedAt = now;
    }

    ClaimIntent intent() {
        return intent;
    }

    String token() {
        return intent.token();
    }

    /** The claim, or the name of the present query. */
    ClaimId claimId() {
        return claimId;
    }

    boolean isClaiming() {
        return claiming;
    }

    void decide(ClaimDecision.Kind kind, Optional<ClaimOutcome> outcome) {
        onDecision.accept(new ClaimDecision(kind, Optional.of(claimId), outcome));
    }

    /** Returns the decision that follows from an outcome of the token. */
    ClaimDecision.Kind kindOf(ClaimOutcome outcome) {
        if (!outcome.fingerprint().equals(intent.fingerprint())) {
            return ClaimDecision.Kind.FINGERPRINT_MISMATCH;
        }
        return outcome.succeeded()
                ? ClaimDecision.Kind.REPLAY
                : ClaimDecision.Kind.COMPLETED_WITHOUT_RESULT;
    }

    /** Returns the decision that is left at the deadline. */
    ClaimDecision.Kind kindAtDeadline() {
        return competitorSeen ? ClaimDecision.Kind.OUTCOME_UNKNOWN : ClaimDecision.Kind.THROTTLED;
    }

    /** Goes on under a new name; what was answered under the old one is void. */
    void renew(ClaimId next) {
        claimId = next;
        replies.clear();
        queriedOwners.clear();
    }

    void startClaiming(Duration now) {
        claiming = true;
        competitorSeen = false;
        claimingSince = now;
    }

    void stopClaiming() {
        claiming = false;
    }

    Duration claimingFor(Duration now) {
        return now.minus(claimingSince);
    }

    boolean isPastDeadline(Duration now) {
        return now.compareTo(intent.startDeadline()) >= 0;
    }

    // Requests

    /** Starts a round of requests to these replicas, of which the first ones are asked now. */
    List<String> startRound(List<String> ordered, int firstWave, Duration now) {
        requestedAt = now;
        replicas = ordered;
        contacted = Math.min(ordered.size(), firstWave);
        return contactedReplicas();
    }

    List<String> contactedReplicas() {
        return replicas.subList(0, contacted);
    }

    /** Returns the next replica that was not asked yet, and counts it as asked. */
    Optional<String> contactNext() {
        return hasUncontacted() ? Optional.of(replicas.get(contacted++)) : Optional.empty();
    }

    boolean hasUncontacted() {
        return contacted < replicas.size();
    }

    /** Starts a retry of all replicas whose replies are missing, and returns those. */
    List<String> startRetry(Duration now) {
        requestedAt = now;
        contacted = replicas.size();
        return replicas.stream().filter(replica -> !replies.containsKey(replica)).toList();
    }

    Duration sinceRequest(Duration now) {
        return now.minus(requestedAt);
    }

    int missingReplies() {
        return contacted - replies.size();
    }

    // Replies

    /** Takes a reply, and returns whether it is the replica's first one. */
    boolean addReply(String replica, ReplicationMessage.ClaimReply reply) {
        return replies.put(replica, reply) == null;
    }

    Collection<ReplicationMessage.ClaimReply> replies() {
        return replies.values();
    }

    Map<String, ReplicationMessage.ClaimReply> repliesByReplica() {
        return replies;
    }

    void forgetReplies() {
        replies.clear();
    }

    /**
     * Forgets replies of replicas that may have caught up with the range or the epoch meanwhile.
     */
    void forgetLaggingReplies() {
        replies.values()
                .removeIf(
                        reply ->
                                reply.vote() == ReplicationMessage.ClaimVote.LAGGING
                                        || reply.vote()
                                                == ReplicationMessage.ClaimVote.STALE_EPOCH);
    }

    /** Returns the change numbers that the replies rest on, by replica. */
    Map<String, Long> changeNumbers() {
        Map<String, Long> numbers = new TreeMap<>();
        replies.forEach((replica, reply) -> numbers.put(replica, reply.changeNumber()));
        return numbers;
    }

    // Competitors

    boolean isCompetitorSeen() {
        return competitorSeen;
    }

    void noteCompetitor() {
        competitorSeen = true;
    }

    /**
     * Returns whether the owner of a competing claim has yet to be asked about it, and records that
     * it is.
     */
    boolean shouldQueryOwner(ClaimId competitor) {
        return queriedOwners.add(competitor);
    }

    void scheduleQuery(RandomGenerator random, Duration now) {
        long nanos = queryPause.toNanos();
        nextQueryAt = Optional.of(now.plusNanos(nanos / 2 + (long) (nanos * random.nextDouble())));
        queryPause = min(queryPause.multipliedBy(2), MAX_QUERY_PAUSE);
    }

    boolean isQueryDue(Duration now) {
        return nextQueryAt.isPresent() && now.compareTo(nextQueryAt.get()) >= 0;
    }

    void awaitResultOf(ClaimId completed) {
        awaitedResult = Optional.of(completed);
    }

    boolean awaits(AssembledResult result) {
        return token().equals(result.token())
                && awaitedResult.equals(Optional.of(result.claimId()));
    }

    /** Returns what decides the next steps, as text. */
    String describeState(Duration now) {
        return claimId.toString()
                + claiming
                + replies
                + competitorSeen
                + replicas
                + contacted
                + awaitedResult
                + sinceRequest(now)
                + claimingFor(now)
                + nextQueryAt.map(at -> at.minus(now));
    }
}
