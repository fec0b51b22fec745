package ochretiller.node;

import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;

/** A server that takes part in no rollout: it has no versions and needs no lease. Stateless. */
class NoRollout implements RolloutParticipation {
    @Override
    public void bindVersion(RequestAttempt attempt) {
        // there are no versions
    }

    @Override
    public boolean mayRun(RequestAttempt attempt) {
        return true;
    }

    @Override
    public void recordAnswer(RequestAttempt attempt, AnswerKind kind) {
        // there are no versions
    }
}
