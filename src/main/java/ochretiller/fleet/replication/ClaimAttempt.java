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
 * A keyed invocation that awaits a decision. It either claims its token or, after yielding to
 * another server's claim, polls the replicas for that claim's outcome. Not thread-safe; the caller
 * passes the time and random numbers.
 */
final class ClaimAttempt {
    /** First pause between queries, doubled up to {@link #MAX_QUERY_PAUSE}, with random jitter. */
    private static final Duration FIRST_QUERY_PAUSE = Duration.ofMillis(40);

    static final Duration MAX_QUERY_PAUSE = Duration.ofMillis(640);

    private final ClaimIntent intent;
    private final Consumer<ClaimDecision> onDecision;

    /** Replies to the current claim or query, by replica. */
    private final Map<String, ReplicationMessage.ClaimReply> replies = new TreeMap<>();

    /** Competing claims whose owners were queried during the current claim or query. */
    private final Set<ClaimId> queriedOwners = new HashSet<>();

    private ClaimId claimId;
    private boolean claiming = true;
    private Duration claimingSince;
    private Duration requestedAt;
    private Duration queryPause = FIRST_QUERY_PAUSE;
    private Optional<Duration> nextQueryAt = Optional.empty();

    /** Replicas in the order in which they are contacted. */
    private List<String> replicas = List.of();

    /** Number of replicas contacted so far. */
    private int contactedCount;

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

    /** Returns the ID of the current claim or query. */
    ClaimId claimId() {
        return claimId;
    }

    boolean isClaiming() {
        return claiming;
    }

    void decide(ClaimDecision.Kind kind, Optional<ClaimOutcome> outcome) {
        onDecision.accept(new ClaimDecision(kind, Optional.of(claimId), outcome));
    }

    /** Returns the decision implied by an outcome of the token. */
    ClaimDecision.Kind decisionKindOf(ClaimOutcome outcome) {
        if (!outcome.fingerprint().equals(intent.fingerprint())) {
            return ClaimDecision.Kind.FINGERPRINT_MISMATCH;
        }
        return outcome.succeeded()
                ? ClaimDecision.Kind.REPLAY
                : ClaimDecision.Kind.COMPLETED_WITHOUT_RESULT;
    }

    /** Returns the decision to report when the start deadline has passed. */
    ClaimDecision.Kind decisionKindAtDeadline() {
        return competitorSeen ? ClaimDecision.Kind.OUTCOME_UNKNOWN : ClaimDecision.Kind.THROTTLED;
    }

    /** Continues under a new claim ID, and discards the replies to the previous one. */
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

    Duration claimingDuration(Duration now) {
        return now.minus(claimingSince);
    }

    boolean isPastDeadline(Duration now) {
        return now.compareTo(intent.startDeadline()) >= 0;
    }

    // Requests

    /** Starts a round of requests, and returns the first {@code firstWave} replicas to contact. */
    List<String> startRound(List<String> ordered, int firstWave, Duration now) {
        requestedAt = now;
        replicas = ordered;
        contactedCount = Math.min(ordered.size(), firstWave);
        return contactedReplicas();
    }

    List<String> contactedReplicas() {
        return replicas.subList(0, contactedCount);
    }

    /** Returns the next replica not contacted yet, and counts it as contacted. */
    Optional<String> contactNext() {
        return hasUncontacted() ? Optional.of(replicas.get(contactedCount++)) : Optional.empty();
    }

    boolean hasUncontacted() {
        return contactedCount < replicas.size();
    }

    /** Starts a retry, and returns all replicas whose replies are missing. */
    List<String> startRetry(Duration now) {
        requestedAt = now;
        contactedCount = replicas.size();
        return replicas.stream().filter(replica -> !replies.containsKey(replica)).toList();
    }

    Duration timeSinceRequest(Duration now) {
        return now.minus(requestedAt);
    }

    int missingReplies() {
        return contactedCount - replies.size();
    }

    // Replies

    /** Stores a reply, and returns whether it is the replica's first one. */
    boolean addReply(String replica, ReplicationMessage.ClaimReply reply) {
        return replies.put(replica, reply) == null;
    }

    Collection<ReplicationMessage.ClaimReply> replies() {
        return replies.values();
    }

    Map<String, ReplicationMessage.ClaimReply> repliesByReplica() {
        return replies;
    }

    void clearReplies() {
        replies.clear();
    }

    /** Discards replies of replicas that may since have caught up with the range or the epoch. */
    void clearLaggingReplies() {
        replies.values()
                .removeIf(
                        reply ->
                                reply.vote() == ReplicationMessage.ClaimVote.LAGGING
                                        || reply.vote()
                                                == ReplicationMessage.ClaimVote.STALE_EPOCH);
    }

    /** Returns the change numbers reported in the replies, by replica. */
    Map<String, Long> changeNumbers() {
        Map<String, Long> numbers = new TreeMap<>();
        replies.forEach((replica, reply) -> numbers.put(replica, reply.changeNumber()));
        return numbers;
    }

    // Competitors

    boolean hasCompetitor() {
        return competitorSeen;
    }

    void recordCompetitor() {
        competitorSeen = true;
    }

    /**
     * Records the owner of a competing claim as queried; returns false if it was queried before.
     */
    boolean markOwnerQueried(ClaimId competitor) {
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

    boolean isAwaiting(AssembledResult result) {
        return token().equals(result.token())
                && awaitedResult.equals(Optional.of(result.claimId()));
    }

    /** Returns the state that determines future behaviour, as text. */
    String describeState(Duration now) {
        return claimId.toString()
                + claiming
                + replies
                + competitorSeen
                + replicas
                + contactedCount
                + awaitedResult
                + timeSinceRequest(now)
                + claimingDuration(now)
                + nextQueryAt.map(at -> at.minus(now));
    }
}
