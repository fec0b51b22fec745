package ochretiller.admission;

import ochretiller.model.RunOutcome;
import ochretiller.server.Action;

/** Handles the end of runs that were started. */
@FunctionalInterface
interface RunEndListener {
    /** Returns the action that the end of a run requires. */
    Action onRunEnded(TrackedInvocation tracked, RunOutcome outcome);
}
