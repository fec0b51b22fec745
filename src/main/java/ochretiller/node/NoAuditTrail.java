package ochretiller.node;

import ochretiller.audit.ChainHead;
import ochretiller.fleet.service.RolloutService;
import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;

/** Keeps no audit. Stateless. */
class NoAuditTrail implements AuditTrail {
    @Override
    public void start() {
        // nothing is kept
    }

    @Override
    public void recordRunStarted(RequestAttempt attempt) {
        // nothing is kept
    }

    @Override
    public void recordAnswer(RequestAttempt attempt, AnswerKind kind) {
        // nothing is kept
    }

    @Override
    public void recordRolloutEvent(
            RolloutService.What event, long version, String hash, String text) {
        // nothing is kept
    }

    @Override
    public ChainHead chainHead() {
        return ChainHead.EMPTY;
    }

    @Override
    public void close() {
        // nothing is kept
    }
}
