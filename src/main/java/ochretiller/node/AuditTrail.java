package ochretiller.node;

import ochretiller.audit.ChainHead;
import ochretiller.fleet.service.RolloutService;
import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;

/** Port to the record of what this server acted on and what came of it. Event loop thread. */
interface AuditTrail {
    /** Starts to write. */
    void start();

    /** Records that a run is about to start. */
    void recordRunStarted(RequestAttempt attempt);

    /** Counts an answer. */
    void recordAnswer(RequestAttempt attempt, AnswerKind kind);

    /**
     * Records what happened to a version of the fleet at this server.
     *
     * @param hash hash of the version's content, in hexadecimal
     */
    void recordRolloutEvent(RolloutService.What event, long version, String hash, String text);

    /** Returns the end of the hash chain on the disk, for other servers to witness. */
    ChainHead chainHead();

    /** Ends the record and closes its files. */
    void close();
}
