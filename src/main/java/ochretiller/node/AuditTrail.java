package ochretiller.node;

import ochretiller.audit.ChainHead;
import ochretiller.fleet.service.RolloutEvent;
import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;

/** Audit log of the versions that this server used and of its invocations. Event loop thread. */
interface AuditTrail {
    /** Starts writing to the log. */
    void start();

    /** Records that a run is about to start. */
    void recordRunStarted(RequestAttempt attempt);

    /** Counts an answer of the given kind for the current version. */
    void recordAnswer(RequestAttempt attempt, AnswerKind kind);

    /**
     * Records an event of a rollout on this server.
     *
     * @param hash hash of the version's content, in hexadecimal
     */
    void recordRolloutEvent(RolloutEvent event, long version, String hash, String text);

    /** Returns the end of the hash chain on disk, which other servers record as witnesses. */
    ChainHead chainHead();

    /** Writes the final records and closes the log. */
    void close();
}
