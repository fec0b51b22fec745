package ochretiller.fleet.replication;

import static ochretiller.time.Durations.timeUntil;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * An outcome being replicated to a write quorum of its token's replicas. Not thread-safe; callers
 * pass the time.
 */
final class PendingOutcome {
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(60);

    /** Retry interval after the client has been answered, for the remaining replicas. */
    private static final Duration LATE_RETRY_INTERVAL = ClaimAttempt.MAX_QUERY_PAUSE;

    /** Retries after a quorum has stored the outcome; anti-entropy transfers it to the others. */
    private static final int MAX_RETRIES_AFTER_QUORUM = 3;

    private final String token;
    private final CompletedClaim completed;
    private final Map<String, Long> changeNumbers;
    private final Consumer<Boolean> onStored;
    private final Set<String> storedBy = new HashSet<>();
    private Duration sentAt;
    private int retriesAfterQuorum;
    private boolean isReported;

    /**
     * @param changeNumbers the replicas' change numbers when they granted the claim
     * @param onStored called once with whether a quorum stored the outcome in time
     */
    PendingOutcome(
            String token,
            CompletedClaim completed,
            Map<String, Long> changeNumbers,
            Consumer<Boolean> onStored,
            Duration now) {
        this.token = token;
        this.completed = completed;
        this.changeNumbers = changeNumbers;
        this.onStored = onStored;
        this.sentAt = now;
    }

    String token() {
        return token;
    }

    Optional<String> chunkedResult() {
        return completed.chunkedResult();
    }

    ReplicationMessage.ClaimCompleted toMessage(long epoch, Duration now) {
        return new ReplicationMessage.ClaimCompleted(
                epoch,
                token,
                completed.claimId(),
                completed.outcome(),
                timeUntil(completed.windowEnd(), now),
                changeNumbers);
    }

    void recordSent(Duration now) {
        sentAt = now;
    }

    Duration timeSinceSent(Duration now) {
        return now.minus(sentAt);
    }

    /** Records that a replica has stored the outcome; returns false if that was known. */
    boolean addConfirmation(String replica) {
        return storedBy.add(replica);
    }

    boolean isStoredBy(String replica) {
        return storedBy.contains(replica);
    }

    int confirmationCount() {
        return storedBy.size();
    }

    /** Discards all confirmations, since those of an older epoch belong to another quorum. */
    void clearConfirmations() {
        storedBy.clear();
    }

    /** Reports whether the outcome is stored, unless that was reported before. */
    void reportStored(boolean stored) {
        if (!isReported) {
            isReported = true;
            onStored.accept(stored);
        }
    }

    boolean isPastReplyDeadline(Duration now) {
        return now.compareTo(completed.replyDeadline()) >= 0;
    }

    boolean isFinished(boolean hasQuorum, Duration now) {
        boolean expired = now.compareTo(completed.windowEnd()) >= 0;
        return expired || hasQuorum && retriesAfterQuorum >= MAX_RETRIES_AFTER_QUORUM;
    }

    boolean isRetryDue(Duration now) {
        Duration interval = isReported ? LATE_RETRY_INTERVAL : RETRY_INTERVAL;
        return timeSinceSent(now).compareTo(interval) >= 0;
    }

    void countRetryAfterQuorum() {
        retriesAfterQuorum++;
    }

    /** Returns the state that determines future behaviour, as text. */
    String describeState(Duration now) {
        return "" + storedBy + retriesAfterQuorum + timeSinceSent(now) + isReported;
    }
}
