package ochretiller.tools;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import ochretiller.fakes.FakeServices;

/**
 * What the processor's stand-in runs, with a bound on how much it gets done, and the note of it
 * that rules are checked by.
 */
final class FakeProcessor implements AutoCloseable {
    /** A run of a token: when it began, and how many there were. */
    static final class Note {
        volatile long firstAt;
        final AtomicInteger runs = new AtomicInteger();
    }

    final Map<String, Note> tokens = new ConcurrentHashMap<>();
    final LongAdder runs = new LongAdder();
    final AtomicInteger most = new AtomicInteger();
    private final AtomicInteger at = new AtomicInteger();
    private final ExecutorService cores;
    private final FakeServices outside;
    private final long runNanos;

    /**
     * One that does {@code cores} runs at a time.
     *
     * @param runMs time that a run takes a core
     */
    FakeProcessor(FakeServices outside, int cores, double runMs) {
        this.outside = outside;
        this.runNanos = (long) (runMs * 1e6);
        this.cores =
                Executors.newFixedThreadPool(
                        cores,
                        work -> {
                            Thread thread = new Thread(work);
                            thread.setDaemon(true);
                            return thread;
                        });
        outside.runs = this::begun;
    }

    private void begun(String rid, String operation, String body) {
        runs.increment();
        most.accumulateAndGet(at.incrementAndGet(), Math::max);
        if (operation.equals("order")) {
            Note note = tokens.computeIfAbsent(body, x -> new Note());
            if (note.runs.getAndIncrement() == 0) {
                note.firstAt = System.nanoTime();
            }
        }
        cores.execute(
                () -> {
                    PreciseTimer.until(System.nanoTime() + runNanos);
                    at.decrementAndGet();
                    try {
                        outside.complete(rid, "result of " + rid);
                    } catch (IOException e) {
                        // the server is gone
                    }
                });
    }

    @Override
    public void close() {
        cores.shutdownNow();
    }
}
