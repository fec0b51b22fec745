package ochretiller.fleet.copies;

/**
 * What a server may do with a keyed invocation, once the keepers have said enough.
 *
 * @param claim under which it may run; null where none was asked for
 * @param outcome how it has ended before, for {@link What#REPLAY}, {@link What#ENDED} and {@link
 *     What#OTHER_BODY}
 */
public record Verdict(What what, ClaimId claim, Outcome outcome) {
    /** Kinds of it. */
    public enum What {
        /** A majority has granted the claim: this server, and no other, may run it now. */
        RUN,
        /** It has run: its result is the answer. */
        REPLAY,
        /** It has run and has no result; it is never run again. */
        ENDED,
        /** The token is another request's. */
        OTHER_BODY,
        /**
         * Another has claimed it and its end is not known: errored, and its repeat may learn more.
         */
        UNKNOWN,
        /** No majority answers, or there is no room: it was not run, and may come again. */
        THROTTLED
    }
}
