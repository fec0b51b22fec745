package ochretiller.admission;

import ochretiller.model.RunOutcome;
import ochretiller.server.Action;

/** Hears of the end of runs that were started. */
@FunctionalInterface
interface RunEndListener {
    /** Returns what is to be done about the end of a run. */
    Action onRunEnded(TrackedInvocation tracked, RunOutcome outcome);
}
