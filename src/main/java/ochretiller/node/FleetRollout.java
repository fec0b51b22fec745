package ochretiller.node;

import java.time.Duration;
import ochretiller.fleet.rollout.VersionCounters;
import ochretiller.fleet.service.RolloutService;
import ochretiller.frontend.AnswerKind;
import ochretiller.frontend.RequestAttempt;
import ochretiller.model.Operation;
import ochretiller.net.Scheduler;

/** Rollout participation of a server that uses its fleet's versions. Event loop thread only. */
final class FleetRollout implements RolloutParticipation {
    private final Scheduler scheduler;
    private final RolloutService rollouts;

    FleetRollout(Scheduler scheduler, RolloutService rollouts) {
        this.scheduler = scheduler;
        this.rollouts = rollouts;
    }

    @Override
    public void bindVersion(RequestAttempt attempt) {
        attempt.bindToVersion(rollouts.activeVersion());
    }

    @Override
    public boolean mayRun(RequestAttempt attempt) {
        return !attempt.operation.isKeyed() || rollouts.isAllowedToServe();
    }

    @Override
    public void recordAnswer(RequestAttempt attempt, AnswerKind kind) {
        rollouts.recordOutcome(attempt.version(), counters(attempt, kind));
    }

    private VersionCounters counters(RequestAttempt attempt, AnswerKind kind) {
        Operation operation = attempt.operation;
        boolean succeeded = kind == AnswerKind.SUCCEEDED || kind == AnswerKind.REPLAYED;
        Duration elapsed = scheduler.now().minus(attempt.arrivedAt);
        boolean isLate = succeeded && elapsed.compareTo(operation.latencyObjective()) > 0;
        double billedValue = operation.billedValue();
        double earnedValue = isLate ? billedValue * operation.lateValueShare() : billedValue;
        return new VersionCounters(
                1,
                kind == AnswerKind.THROTTLED ? 1 : 0,
                kind == AnswerKind.ERRORED ? 1 : 0,
                isLate ? 1 : 0,
                succeeded ? earnedValue : 0,
                billedValue);
    }
}
