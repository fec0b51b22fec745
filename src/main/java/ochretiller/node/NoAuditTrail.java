package ochretiller.node;

import ochretiller.audit.ChainHead;
import ochretiller.fleet.service.RolloutEvent;
import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;

/** Audit trail of a server without an audit log: records nothing. Stateless. */
class NoAuditTrail implements AuditTrail {
    @Override
    public void start() {
        // nothing is recorded
    }

    @Override
    public void recordRunStarted(RequestAttempt attempt) {
        // nothing is recorded
    }

    @Override
    public void recordAnswer(RequestAttempt attempt, AnswerKind kind) {
        // nothing is recorded
    }

    @Override
    public void recordRolloutEvent(RolloutEvent event, long version, String hash, String text) {
        // nothing is recorded
    }

    @Override
    public ChainHead chainHead() {
        return ChainHead.EMPTY;
    }

    @Override
    public void close() {
        // nothing is recorded
    }
}
