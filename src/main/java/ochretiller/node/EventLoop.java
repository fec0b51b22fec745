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
 * The one thread that owns all state: it gathers what is ready, works it off, and lets what came of
 * it go out.
 */
public final class EventLoop implements Scheduler {
    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
    private static final long LONGEST_WAIT = TimeUnit.SECONDS.toNanos(1);

    private final LinkedBlockingQueue<Runnable> ready = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::at).thenComparing(Timer::number));
    private final long startedAt = System.nanoTime();
    private volatile Duration now = Duration.ZERO;
    private long timerNumbers;
    private boolean stopped;

    private record Timer(Duration at, long number, Runnable work) {}

    @Override
    public Duration now() {
        return now;
    }

    @Override
    public Duration exact() {
        return Duration.ofNanos(System.nanoTime() - startedAt);
    }

    @Override
    public void post(Runnable work) {
        ready.add(work);
    }

    @Override
    public void after(Duration span, Runnable work) {
        timers.add(new Timer(now.plus(span), ++timerNumbers, work));
    }

    public void stop() {
        stopped = true;
    }

    /** Works until it is stopped; {@code goOut} is run behind each gathering. */
    public void run(Runnable goOut) {
        List<Runnable> gathered = new ArrayList<>();
        while (!stopped) {
            try {
                Runnable first = ready.poll(untilTimer(), TimeUnit.NANOSECONDS);
                if (first != null) {
                    gathered.add(first);
                }
            } catch (InterruptedException e) {
                LOG.warning("interrupted, and goes on: only the notice to leave ends a server");
            }
            ready.drainTo(gathered);
            now = Duration.ofNanos(System.nanoTime() - startedAt);
            while (!timers.isEmpty() && timers.peek().at.compareTo(now) <= 0) {
                gathered.add(timers.poll().work);
            }
            gathered.forEach(EventLoop::guarded);
            gathered.clear();
            guarded(goOut);
        }
    }

    private long untilTimer() {
        if (timers.isEmpty()) {
            return LONGEST_WAIT;
        }
        return Math.max(0, timers.peek().at.toNanos() - (System.nanoTime() - startedAt));
    }

    /** Guards against one fault that would end the server and all that it holds. */
    private static void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "fault", e);
        }
    }
}
