package ochretiller.net;

import java.time.Duration;

/**
 * The event loop: the one thread that owns the server's state. It runs tasks one after another, in
 * rounds; within a round the time stands still.
 */
public interface Scheduler {
    /** The time since the server's start, as it was at the beginning of the current round. */
    Duration now();

    /**
     * The time since the server's start at this instant, for decisions that must not use the time
     * of the round's beginning, as {@link #now} does.
     */
    default Duration exact() {
        return now();
    }

    /**
     * Runs {@code work} in the next round. May be called from any thread.
     *
     * @param work the task
     */
    void post(Runnable work);

    /**
     * Runs {@code work} once after a delay. To be called on the event loop only.
     *
     * @param span the delay
     * @param work the task
     */
    void after(Duration span, Runnable work);
}
