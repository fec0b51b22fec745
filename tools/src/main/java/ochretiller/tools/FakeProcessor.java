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
 * Executes the runs of the fake services' processor on a limited number of cores, and records them
 * so that a bench can check the rules.
 */
final class FakeProcessor implements AutoCloseable {
    /** The runs of one token: how many there were, and when the first one began. */
    static final class TokenRuns {
        volatile long firstStartNanos;
        final AtomicInteger count = new AtomicInteger();
    }

    /** Runs of each token; the body of an order is its token. */
    final Map<String, TokenRuns> tokens = new ConcurrentHashMap<>();

    final LongAdder totalRuns = new LongAdder();
    final AtomicInteger maxConcurrentRuns = new AtomicInteger();
    private final AtomicInteger activeRuns = new AtomicInteger();
    private final ExecutorService executor;
    private final FakeServices services;
    private final long runNanos;

    /**
     * Takes over the runs of the fake services.
     *
     * @param cores runs that are executed at a time
     * @param runMs milliseconds for which a run takes a core
     */
    FakeProcessor(FakeServices services, int cores, double runMs) {
        this.services = services;
        this.runNanos = (long) (runMs * 1e6);
        this.executor =
                Executors.newFixedThreadPool(
                        cores,
                        task -> {
                            Thread thread = new Thread(task);
                            thread.setDaemon(true);
                            return thread;
                        });
        services.runHandler = this::startRun;
    }

    private void startRun(String rid, String operation, String body) {
        totalRuns.increment();
        maxConcurrentRuns.accumulateAndGet(activeRuns.incrementAndGet(), Math::max);
        if (operation.equals("order")) {
            TokenRuns tokenRuns = tokens.computeIfAbsent(body, token -> new TokenRuns());
            if (tokenRuns.count.getAndIncrement() == 0) {
                tokenRuns.firstStartNanos = System.nanoTime();
            }
        }
        executor.execute(
                () -> {
                    PreciseTimer.waitUntil(System.nanoTime() + runNanos);
                    activeRuns.decrementAndGet();
                    try {
                        services.complete(rid, "result of " + rid);
                    } catch (IOException e) {
                        // the server has exited
                    }
                });
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
