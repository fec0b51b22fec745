package ochretiller.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import ochretiller.net.ScheduledTask;
import ochretiller.net.Scheduler;

/**
 * The event loop, whose single thread owns all state of a server. It repeatedly runs the posted
 * tasks and the due timers as one batch, and then a hook that writes the output of the batch.
 * {@link #now} does not change within a batch.
 *
 * <p>{@link #post} may be called on any thread, everything else on the thread that calls {@link
 * #run}.
 */
public final class EventLoop implements Scheduler {
    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());

    /** Posted tasks of one batch, so that under load timers and output are not delayed by more. */
    private static final int MAX_BATCH_TASKS = 64;

    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final LinkedBlockingQueue<Runnable> postedTasks = new LinkedBlockingQueue<>();
    private final TreeSet<Timer> timers =
            new TreeSet<>(
                    Comparator.<Timer, Duration>comparing(timer -> timer.dueAt)
                            .thenComparing(timer -> timer.sequence));
    private final long startedNanos = System.nanoTime();
    private volatile Duration now = Duration.ZERO;
    private long timerSequence;
    private boolean isStopped;

    /** A scheduled task; tasks with the same due time run in the order of their sequence. */
    private final class Timer implements ScheduledTask {
        private final Duration dueAt;
        private final long sequence;
        private final Runnable work;
        private boolean isCancelled;

        Timer(Duration dueAt, long sequence, Runnable work) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.work = work;
        }

        @Override
        public void cancel() {
            isCancelled = true; // in case it is in the current batch already
            timers.remove(this);
        }

        private void run() {
            if (!isCancelled) {
                work.run();
            }
        }
    }

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public Duration exactNow() {
        return Duration.ofNanos(elapsedNanos());
    }

    private long elapsedNanos() {
        return System.nanoTime() - startedNanos;
    }

    @Override
    public void post(Runnable work) {
        postedTasks.add(work);
    }

    @Override
    public ScheduledTask runAfter(Duration delay, Runnable work) {
        timerSequence++;
        Timer timer = new Timer(now.plus(delay), timerSequence, work);
        timers.add(timer);
        return timer;
    }

    /** Makes {@link #run} return after the current batch. */
    public void stop() {
        isStopped = true;
    }

    /**
     * Runs batches until {@link #stop} is called or a task throws an {@link Error}, which is passed
     * on: the state that the loop owns may then be inconsistent.
     *
     * @param afterBatch called after each batch to write its output
     */
    public void run(Runnable afterBatch) {
        List<Runnable> batch = new ArrayList<>();
        while (!isStopped) {
            awaitWork(batch);
            postedTasks.drainTo(batch, MAX_BATCH_TASKS);
            now = Duration.ofNanos(elapsedNanos());
            while (!timers.isEmpty() && timers.first().dueAt.compareTo(now) <= 0) {
                batch.add(timers.pollFirst()::run);
            }
            batch.forEach(EventLoop::runGuarded);
            batch.clear();
            runGuarded(afterBatch);
        }
    }

    private void awaitWork(List<Runnable> batch) {
        try {
            Runnable first = postedTasks.poll(nanosUntilNextTimer(), TimeUnit.NANOSECONDS);
            if (first != null) {
                batch.add(first);
            }
        } catch (InterruptedException e) {
            // The interrupt flag is not restored: only a shutdown notice stops a server, and with
            // the flag set the loop would spin.
            LOG.warning("ignored an interrupt of the event loop thread");
        }
    }

    private long nanosUntilNextTimer() {
        if (timers.isEmpty()) {
            return MAX_WAIT_NANOS;
        }
        return Math.max(0, timers.first().dueAt.toNanos() - elapsedNanos());
    }

    /** Logs exceptions, since one failed task must not stop the server. */
    private static void runGuarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "uncaught exception in an event loop task", e);
        }
    }
}
