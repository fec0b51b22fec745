package ochretiller.node;

import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;

/** Binds requests to the versions that a fleet rolls out to its servers. Event loop thread. */
interface RolloutParticipation {
    /** Binds a new request to the version that this server currently uses. */
    void bindVersion(RequestAttempt attempt);

    /**
     * Returns whether an invocation may run now: the lease on this server's version is valid, or
     * the invocation needs no lease.
     */
    boolean mayRun(RequestAttempt attempt);

    /** Counts an answer in the statistics of the version to which its request is bound. */
    void recordAnswer(RequestAttempt attempt, AnswerKind kind);
}
