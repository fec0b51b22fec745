package ochretiller.net;

/** A task that a {@link Scheduler} runs after a delay. */
public interface ScheduledTask {
    /**
     * Makes the scheduler forget the task and all that it refers to. Has no effect if the task has
     * run. Must be called on the event loop.
     */
    void cancel();
}
