package ochretiller.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import ochretiller.frontend.RequestAttempt;
import ochretiller.model.InvocationId;
import ochretiller.net.Scheduler;

/**
 * Attempts that are to be looked at when a time has come, unless they are removed before. Nothing
 * is held of an attempt that was removed, and one timer of the event loop serves them all, so that
 * the memory is bounded by the number of open requests. Event loop thread only.
 */
final class AttemptTimers {
    private static final Comparator<Timer> BY_TIME =
            Comparator.comparing(Timer::dueAt).thenComparing(Timer::sequence);

    private final Scheduler scheduler;
    private final Consumer<RequestAttempt> onDue;
    private final TreeSet<Timer> timers = new TreeSet<>(BY_TIME);
    private final Map<InvocationId, Timer> timersByAttempt = new HashMap<>();
    private long lastSequence;

    /** When the timer of the event loop runs next; empty if none is set. */
    private Optional<Duration> nextRunAt = Optional.empty();

    /**
     * The timer of an attempt; those that are due at the same time run in the order of addition.
     */
    private record Timer(Duration dueAt, long sequence, RequestAttempt attempt) {}

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
        lastSequence++;
        Timer timer = new Timer(scheduler.now().plus(delay), lastSequence, attempt);
        timers.add(timer);
        timersByAttempt.put(attempt.id, timer);
        scheduleNextRun();
    }

    /** Removes the timer of an attempt; returns false if it has none. */
    boolean remove(RequestAttempt attempt) {
        Timer removed = timersByAttempt.remove(attempt.id);
        return removed != null && timers.remove(removed);
    }

    /** Returns the number of timers. */
    int size() {
        return timers.size();
    }

    private void scheduleNextRun() {
        if (timers.isEmpty()) {
            return;
        }
        Duration dueAt = timers.first().dueAt;
        if (nextRunAt.isPresent() && nextRunAt.get().compareTo(dueAt) <= 0) {
            return; // that run schedules the next one
        }
        nextRunAt = Optional.of(dueAt);
        scheduler.runAfter(dueAt.minus(scheduler.now()), () -> run(dueAt));
    }

    private void run(Duration scheduledAt) {
        if (nextRunAt.equals(Optional.of(scheduledAt))) {
            nextRunAt = Optional.empty();
        }
        try {
            for (Optional<RequestAttempt> due = pollDue(); due.isPresent(); due = pollDue()) {
                onDue.accept(due.get());
            }
        } finally {
            scheduleNextRun(); // also if the handling of one attempt has failed
        }
    }

    private Optional<RequestAttempt> pollDue() {
        if (timers.isEmpty() || timers.first().dueAt.compareTo(scheduler.now()) > 0) {
            return Optional.empty();
        }
        RequestAttempt due = timers.first().attempt;
        remove(due);
        return Optional.of(due);
    }
}
