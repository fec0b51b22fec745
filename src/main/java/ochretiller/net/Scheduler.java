package ochretiller.net;

import java.time.Duration;

/**
 * The event loop: the single thread that owns the server's state. It runs tasks one after another,
 * in rounds; {@link #now} does not advance within a round.
 */
public interface Scheduler {
    /** Returns the time from the server's start to the beginning of the current round. */
    Duration now();

    /**
     * Returns the time since the server's start, read from the clock at this call. Used for
     * decisions that need a more recent time than the start of the round.
     */
    default Duration exactNow() {
        return now();
    }

    /**
     * Runs {@code work} in the next round. Any thread.
     *
     * @param work the task
     */
    void post(Runnable work);

    /**
     * Runs {@code work} once after a delay. Must be called on the event loop.
     *
     * @param delay the delay
     * @param work the task
     * @return the task; a caller that may be done with it earlier cancels it then
     */
    ScheduledTask runAfter(Duration delay, Runnable work);
}
