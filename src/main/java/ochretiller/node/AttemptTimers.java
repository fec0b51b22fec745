package ochretiller.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import ochretiller.frontend.RequestAttempt;
import ochretiller.model.InvocationId;
import ochretiller.net.ScheduledTask;
import ochretiller.net.Scheduler;

/**
 * Attempts that are to be looked at when a time has come, unless they are removed before. Nothing
 * is held of an attempt that was removed, so that the memory is bounded by the number of open
 * requests. Event loop thread only.
 */
final class AttemptTimers {
    private final Scheduler scheduler;
    private final Consumer<RequestAttempt> onDue;
    private final Map<InvocationId, ScheduledTask> tasks = new HashMap<>();

    /**
     * Creates an instance without timers.
     *
     * @param scheduler the event loop
     * @param onDue called with an attempt whose time has come; its timer is removed before
     */
    AttemptTimers(Scheduler scheduler, Consumer<RequestAttempt> onDue) {
        this.scheduler = scheduler;
        this.onDue = onDue;
    }

    /** Adds the timer of an attempt, which must have none. */
    void add(RequestAttempt attempt, Duration delay) {
        tasks.put(attempt.id, scheduler.runAfter(delay, () -> run(attempt)));
    }

    private void run(RequestAttempt attempt) {
        tasks.remove(attempt.id);
        onDue.accept(attempt);
    }

    /** Removes the timer of an attempt; returns false if it has none. */
    boolean remove(RequestAttempt attempt) {
        ScheduledTask removed = tasks.remove(attempt.id);
        if (removed == null) {
            return false;
        }
        removed.cancel();
        return true;
    }

    /** Returns the number of timers. */
    int size() {
        return tasks.size();
    }
}
