package ochretiller.tools;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import ochretiller.emulator.core.RandomStreams;
import ochretiller.fakes.FakeConnection;
import ochretiller.fakes.GatewayMessages;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Open-loop arrivals by seed over a few connections of JSON-RPC. Latency counts from the moment at
 * which a request was to be sent, so that a server which stands still is not spared what would have
 * come meanwhile.
 */
final class LoadGenerator {
    /** Fewer than a server lets be open on one connection. */
    private static final int OPEN = 30;

    final Histogram keyed = new ConcurrentHistogram(3);
    final Histogram reads = new ConcurrentHistogram(3);
    final LongAdder succeeded = new LongAdder();
    final LongAdder throttled = new LongAdder();
    final LongAdder errored = new LongAdder();
    private final List<Line> lines = new ArrayList<>();
    private final SplittableRandom chance;
    private final String run;
    private long sent;

    /** One connection, with what is open on it. */
    private final class Line {
        private final FakeConnection wire;
        private final Semaphore open = new Semaphore(OPEN);
        private final ConcurrentHashMap<Long, long[]> since = new ConcurrentHashMap<>();

        Line(int port) throws IOException {
            wire = new FakeConnection(new Socket("127.0.0.1", port));
            Thread reader = new Thread(this::read);
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try {
                for (String line = wire.line(); line != null; line = wire.line()) {
                    long[] asked = since.remove(JsonRpcClient.id(line));
                    if (asked == null) {
                        continue;
                    }
                    open.release();
                    long took = Math.max(1, (System.nanoTime() - asked[0]) / 1_000);
                    switch (JsonRpcClient.outcome(line)) {
                        case SUCCEEDED -> {
                            succeeded.increment();
                            (asked[1] == 1 ? keyed : reads).recordValue(took);
                        }
                        case THROTTLED -> throttled.increment();
                        default -> errored.increment();
                    }
                }
            } catch (IOException e) {
                // the server has ended, or the load has
            }
        }
    }

    LoadGenerator(int port, int connections, long seed) throws IOException {
        chance = new SplittableRandom(seed);
        run = String.format("%08x", chance.nextInt());
        for (int i = 0; i < connections; i++) {
            lines.add(new Line(port));
        }
    }

    /**
     * Sends so many a second for so long; {@code keyedShare} of them are keyed, each under a token
     * of its own.
     */
    void send(double perSecond, double seconds, double keyedShare)
            throws IOException, InterruptedException {
        long start = System.nanoTime();
        double at = 0;
        while (true) {
            at += RandomStreams.exponential(chance, 1 / perSecond);
            if (at > seconds) {
                break;
            }
            long due = start + (long) (at * 1e9);
            PreciseTimer.until(due);
            boolean isKeyed = chance.nextDouble() < keyedShare;
            Line line = lines.get((int) (++sent % lines.size()));
            line.open.acquire();
            String rid = run + String.format("%08x", sent);
            line.since.put(sent, new long[] {due, isKeyed ? 1 : 0});
            String token = isKeyed ? run + run + String.format("%016x", sent) : null;
            line.wire.send(
                    GatewayMessages.message(
                            sent,
                            isKeyed ? "order" : "read",
                            GatewayMessages.params(rid, token, "load")));
        }
        for (Line line : lines) {
            if (line.open.tryAcquire(OPEN, 6, TimeUnit.SECONDS)) {
                line.open.release(OPEN);
            }
        }
    }

    long sent() {
        return sent;
    }

    void close() throws IOException {
        for (Line line : lines) {
            line.wire.close();
        }
    }
}
