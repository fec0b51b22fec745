package ochretiller.fleet.replication;

/**
 * What a server may do with a keyed invocation, once the keepers have said enough.
 *
 * @param claimId under which it may run; null where none was asked for
 * @param outcome how it has ended before, for {@link Finding#REPLAY}, {@link Finding#ENDED} and
 *     {@link What#OTHER_BODY}
 */
public record ClaimDecision(Kind kind, ClaimId claimId, ClaimOutcome outcome) {
    /** Kinds of it. */
    public enum Kind {
        /** A majority has granted the claim: this server, and no other, may run it now. */
        RUN,
        /** It has run: its result is the answer. */
        REPLAY,
        /** It has run and has no result; it is never run again. */
        COMPLETED_WITHOUT_RESULT,
        /** The token is another request's. */
        FINGERPRINT_MISMATCH,
        /**
         * Another has claimed it and its end is not known: errored, and its repeat may learn more.
         */
        OUTCOME_UNKNOWN,
        /** No majority answers, or there is no room: it was not run, and may come again. */
        THROTTLED
    }
}
