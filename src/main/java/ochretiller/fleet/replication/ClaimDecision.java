package ochretiller.fleet.replication;

import java.util.Optional;

/**
 * The decision on a keyed invocation, made once enough replicas have answered or time has run out.
 *
 * @param kind what the server does with the invocation
 * @param claimId the claim or query that led to the decision; empty if there was none
 * @param outcome the token's stored outcome; present exactly for {@link Kind#REPLAY}, {@link
 *     Kind#COMPLETED_WITHOUT_RESULT} and {@link Kind#FINGERPRINT_MISMATCH}
 */
public record ClaimDecision(Kind kind, Optional<ClaimId> claimId, Optional<ClaimOutcome> outcome) {
    /** Kinds of decisions. */
    public enum Kind {
        /** A majority has granted the claim: only this server may run the invocation. */
        RUN,
        /** The invocation has run before: the stored result is the answer. */
        REPLAY,
        /** The invocation has run without a result, and is never run again. */
        COMPLETED_WITHOUT_RESULT,
        /** The token was used for a different request. */
        FINGERPRINT_MISMATCH,
        /**
         * Another server has claimed the token, and the outcome is unknown: reported as an error; a
         * later retry may find the outcome.
         */
        OUTCOME_UNKNOWN,
        /** No majority or no capacity: the invocation did not run, and may be retried. */
        THROTTLED
    }

    /** Creates a decision made without a claim and without an outcome. */
    public static ClaimDecision withoutClaim(Kind kind) {
        return new ClaimDecision(kind, Optional.empty(), Optional.empty());
    }

    /** Creates a replay of a known outcome, made without a claim. */
    public static ClaimDecision replayOf(ClaimOutcome outcome) {
        return new ClaimDecision(Kind.REPLAY, Optional.empty(), Optional.of(outcome));
    }
}
