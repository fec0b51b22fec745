package ochretiller.emulator.core;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * Executes actions in virtual time, ordered by due time; actions due at the same time run in the
 * order in which they were scheduled. Not thread-safe.
 */
public final class EventQueue {
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private long lastSequenceNumber;
    private long now;
    private long executed;

    /** A scheduled action, which can be cancelled until it runs. */
    public static final class Event implements Comparable<Event> {
        private final long atNanos;
        private final long sequenceNumber;
        private Runnable action;

        private Event(long atNanos, long sequenceNumber, Runnable action) {
            this.atNanos = atNanos;
            this.sequenceNumber = sequenceNumber;
            this.action = action;
        }

        /** Prevents the action from running; the event stays in the queue until it is due. */
        public void cancel() {
            action = null;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    /** Returns the virtual time since the start. */
    public Duration now() {
        return Duration.ofNanos(now);
    }

    /** Returns the virtual time since the start, seconds. */
    public double nowSeconds() {
        return now / 1e9;
    }

    /** Returns the number of executed events; cancelled ones are not counted. */
    public long executedEvents() {
        return executed;
    }

    /** Schedules an action; a negative delay counts as zero. */
    public Event schedule(Duration delay, Runnable action) {
        return scheduleInNanos(delay.toNanos(), action);
    }

    /** Schedules an action after a delay in seconds, truncated to whole nanoseconds. */
    public Event schedule(double seconds, Runnable action) {
        return scheduleInNanos((long) (seconds * 1e9), action);
    }

    private Event scheduleInNanos(long nanos, Runnable action) {
        Event event = new Event(now + Math.max(0, nanos), ++lastSequenceNumber, action);
        queue.add(event);
        return event;
    }

    /** Executes all events due at or before {@code untilSeconds} and advances the clock to it. */
    public void runUntil(double untilSeconds) {
        long untilNanos = (long) (untilSeconds * 1e9);
        while (!queue.isEmpty() && queue.peek().atNanos <= untilNanos) {
            Event event = queue.poll();
            if (event.action == null) {
                continue;
            }
            now = event.atNanos;
            executed++;
            event.action.run();
        }
        now = Math.max(now, untilNanos);
    }
}
