package ochretiller.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import ochretiller.net.Scheduler;

/**
 * The one thread that owns all state of a server. It takes the work that is ready and the timers
 * that are due as one batch, runs them one after another, and then has written what came of them.
 * Time stands still within a batch.
 *
 * <p>{@link #post} may be called on any thread, everything else on the thread that calls {@link
 * #run}.
 */
public final class EventLoop implements Scheduler {
    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final LinkedBlockingQueue<Runnable> ready = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::dueAt).thenComparing(Timer::sequence));
    private final long startedNanos = System.nanoTime();
    private volatile Duration now = Duration.ZERO;
    private long timerSequence;
    private boolean stopped;

    /** Timers with the same due time run in the order in which they were set. */
    private record Timer(Duration dueAt, long sequence, Runnable work) {}

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public Duration exact() {
        return Duration.ofNanos(elapsedNanos());
    }

    private long elapsedNanos() {
        return System.nanoTime() - startedNanos;
    }

    @Override
    public void post(Runnable work) {
        ready.add(work);
    }

    @Override
    public void after(Duration delay, Runnable work) {
        timerSequence++;
        timers.add(new Timer(now.plus(delay), timerSequence, work));
    }

    /** Has {@link #run} return after the current batch. */
    public void stop() {
        stopped = true;
    }

    /**
     * Runs until it is stopped.
     *
     * @param afterBatch run after each batch, to write what came of it
     */
    public void run(Runnable afterBatch) {
        List<Runnable> batch = new ArrayList<>();
        while (!stopped) {
            awaitWork(batch);
            ready.drainTo(batch);
            now = Duration.ofNanos(elapsedNanos());
            while (!timers.isEmpty() && timers.peek().dueAt.compareTo(now) <= 0) {
                batch.add(timers.poll().work);
            }
            batch.forEach(EventLoop::runGuarded);
            batch.clear();
            runGuarded(afterBatch);
        }
    }

    private void awaitWork(List<Runnable> batch) {
        try {
            Runnable first = ready.poll(nanosUntilNextTimer(), TimeUnit.NANOSECONDS);
            if (first != null) {
                batch.add(first);
            }
        } catch (InterruptedException e) {
            // Deliberately not kept: only a shutdown notice ends a server, and a kept interrupt
            // would make the loop spin.
            LOG.warning("event loop interrupted, continues");
        }
    }

    private long nanosUntilNextTimer() {
        if (timers.isEmpty()) {
            return MAX_WAIT_NANOS;
        }
        return Math.max(0, timers.peek().dueAt.toNanos() - elapsedNanos());
    }

    /** One failed piece of work must not end the server and everything that it holds. */
    private static void runGuarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "fault", e);
        }
    }
}
