package ochretiller;

import java.time.Duration;
import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import ochretiller.net.ScheduledTask;
import ochretiller.net.Scheduler;

/**
 * An event loop that a test drives by hand: no task runs and no time passes until the test calls
 * the method for it. Tasks may be posted on any thread.
 */
public final class ManualEventLoop implements Scheduler {
    private static final long MAX_WAIT_S = 10;

    private final LinkedBlockingQueue<Runnable> postedTasks = new LinkedBlockingQueue<>();
    private final TreeSet<Timer> timers =
            new TreeSet<>(Comparator.comparing(Timer::dueAt).thenComparing(Timer::sequence));
    private volatile Duration now = Duration.ofSeconds(100);
    private long lastSequence;

    private record Timer(Duration dueAt, long sequence, Runnable work) {}

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public void post(Runnable work) {
        postedTasks.add(work);
    }

    @Override
    public ScheduledTask runAfter(Duration span, Runnable work) {
        Timer timer = new Timer(now.plus(span), ++lastSequence, work);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    /** Waits until at least this many tasks are posted, without running them. */
    public void awaitPosted(int count) throws InterruptedException {
        for (long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
                postedTasks.size() < count;
                Thread.onSpinWait()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError(
                        "posted tasks: " + postedTasks.size() + ", expected: " + count);
            }
        }
    }

    /** Waits for the next posted task and runs it. */
    public void runNext() throws InterruptedException {
        Runnable work = postedTasks.poll(MAX_WAIT_S, TimeUnit.SECONDS);
        if (work == null) {
            throw new AssertionError("no task was posted within " + MAX_WAIT_S + " s");
        }
        work.run();
    }

    /** Runs all posted tasks, including those posted meanwhile. */
    public void runPosted() {
        for (Runnable work = postedTasks.poll(); work != null; work = postedTasks.poll()) {
            work.run();
        }
    }

    /** Returns the number of timers that have not run. */
    public int timerCount() {
        return timers.size();
    }

    /** Advances the time and runs the timers that fall due, but no posted tasks. */
    public void advanceTimers(Duration span) {
        Duration end = now.plus(span);
        while (!timers.isEmpty() && timers.first().dueAt.compareTo(end) <= 0) {
            now = timers.first().dueAt;
            timers.pollFirst().work.run();
        }
        now = end;
    }

    /** Advances the time and runs all due timers, and the posted tasks before and after them. */
    public void advance(Duration span) {
        runPosted();
        advanceTimers(span);
        runPosted();
    }
}
