package ochretiller;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import ochretiller.net.Scheduler;

/**
 * The one thread's work in the hands of a test: nothing of it is done, and no time passes, until
 * the test says so.
 */
public final class ManualEventLoop implements Scheduler {
    private static final long LONGEST_S = 10;

    private final LinkedBlockingQueue<Runnable> posted = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::at).thenComparing(Timer::number));
    private volatile Duration now = Duration.ofSeconds(100);
    private long numbers;

    private record Timer(Duration at, long number, Runnable work) {}

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public void post(Runnable work) {
        posted.add(work);
    }

    @Override
    public void after(Duration span, Runnable work) {
        timers.add(new Timer(now.plus(span), ++numbers, work));
    }

    /** Waits until so many pieces of work stand ready, and does none of them. */
    public void await(int pieces) throws InterruptedException {
        for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_S);
                posted.size() < pieces;
                Thread.onSpinWait()) {
            if (System.nanoTime() > until) {
                throw new AssertionError(posted.size() + " pieces of work, not " + pieces);
            }
        }
    }

    /** Waits for the next piece of work and does it. */
    public void one() throws InterruptedException {
        Runnable work = posted.poll(LONGEST_S, TimeUnit.SECONDS);
        if (work == null) {
            throw new AssertionError("no work came");
        }
        work.run();
    }

    /** Does what stands ready. */
    public void all() {
        for (Runnable work = posted.poll(); work != null; work = posted.poll()) {
            work.run();
        }
    }

    /** Lets time pass, with the timers that fall due in it; what stands ready is not done. */
    public void due(Duration span) {
        Duration end = now.plus(span);
        while (!timers.isEmpty() && timers.peek().at.compareTo(end) <= 0) {
            now = timers.peek().at;
            timers.poll().work.run();
        }
        now = end;
    }

    /** Does what stands ready, and lets time pass. */
    public void pass(Duration span) {
        all();
        due(span);
        all();
    }
}
