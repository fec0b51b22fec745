package ochretiller.node;

import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;

/**
 * Port to the versions that a fleet rolls out to its servers, as far as requests are concerned.
 * Event loop thread.
 */
interface RolloutParticipation {
    /** Binds a request that was just read to the version that this server acts on. */
    void bindVersion(RequestAttempt attempt);

    /**
     * Returns whether an invocation may run at this very moment: the lease on this server's version
     * still holds, or the invocation needs none.
     */
    boolean mayRun(RequestAttempt attempt);

    /** Counts an answer for the version that its request is bound to. */
    void recordAnswer(RequestAttempt attempt, AnswerKind kind);
}
