package ochretiller.net;

import java.time.Duration;

/** The one thread that owns all state: what it is given runs there, one after another. */
public interface Scheduler {
    /** Time since the start, the same all through one gathering. */
    Duration now();

    /**
     * The time of this very moment, for what must be looked at last: {@link #now} is that of the
     * gathering.
     */
    default Duration exact() {
        return now();
    }

    /** From any thread: {@code work} runs in the next gathering. */
    void post(Runnable work);

    /** On the one thread only: {@code work} runs once {@code span} has passed. */
    void after(Duration span, Runnable work);
}
