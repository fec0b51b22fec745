package ochretiller.emulator.core;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * What is to happen, in the order of its time and, at one time, in the order in which it was said.
 */
public final class EventQueue {
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private long numbers;
    private long now;
    private long done;

    /** One that may still be called off. */
    public static final class Event implements Comparable<Event> {
        private final long at;
        private final long number;
        private Runnable work;

        private Event(long at, long number, Runnable work) {
            this.at = at;
            this.number = number;
            this.work = work;
        }

        /** It does not happen; its place in the queue is kept until its time. */
        public void cancel() {
            work = null;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    public Duration now() {
        return Duration.ofNanos(now);
    }

    public double seconds() {
        return now / 1e9;
    }

    /** Events that have happened. */
    public long done() {
        return done;
    }

    public Event after(Duration span, Runnable work) {
        return in(span.toNanos(), work);
    }

    public Event after(double seconds, Runnable work) {
        return in((long) (seconds * 1e9), work);
    }

    private Event in(long nanos, Runnable work) {
        Event event = new Event(now + Math.max(0, nanos), ++numbers, work);
        queue.add(event);
        return event;
    }

    /** Lets all happen that is due by then. */
    public void run(double untilSeconds) {
        long until = (long) (untilSeconds * 1e9);
        while (!queue.isEmpty() && queue.peek().at <= until) {
            Event event = queue.poll();
            if (event.work == null) {
                continue;
            }
            now = event.at;
            done++;
            event.work.run();
        }
        now = Math.max(now, until);
    }
}
