package ochretiller.fleet.replication;

import java.util.Optional;

/**
 * What a server may do with a keyed invocation, once enough replicas have answered.
 *
 * @param kind what to do
 * @param claimId the claim under which it may run, or under which it was asked for; empty where
 *     none was made
 * @param outcome how the token has ended before; present exactly for {@link Kind#REPLAY}, {@link
 *     Kind#COMPLETED_WITHOUT_RESULT} and {@link Kind#FINGERPRINT_MISMATCH}
 */
public record ClaimDecision(Kind kind, Optional<ClaimId> claimId, Optional<ClaimOutcome> outcome) {
    /** Kinds of decisions. */
    public enum Kind {
        /** A majority has granted the claim: this server, and no other, may run it now. */
        RUN,
        /** It has run: its result is the answer. */
        REPLAY,
        /** It has run and left no result; it is never run again. */
        COMPLETED_WITHOUT_RESULT,
        /** The token belongs to another request. */
        FINGERPRINT_MISMATCH,
        /**
         * Another server has claimed it and its outcome is not known: an error, after which a
         * repeat may learn more.
         */
        OUTCOME_UNKNOWN,
        /** No majority answers, or there is no capacity: it was not run, and may come again. */
        THROTTLED
    }

    /** A decision that was made without a claim and without an outcome. */
    public static ClaimDecision withoutClaim(Kind kind) {
        return new ClaimDecision(kind, Optional.empty(), Optional.empty());
    }

    /** The answer with an outcome that is known already, without a claim. */
    public static ClaimDecision replayOf(ClaimOutcome outcome) {
        return new ClaimDecision(Kind.REPLAY, Optional.empty(), Optional.of(outcome));
    }
}
