package ochretiller.tools;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import ochretiller.emulator.core.RandomStreams;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends open-loop traffic, drawn from a seed, over one protocol. Some keyed requests are retried
 * over the other protocol, and some clients disconnect early.
 */
final class MixedTraffic {
    /** Shares, 0 to 1: of keyed requests, and of retries and early disconnects among those. */
    record Mix(double keyedShare, double retriedShare, double disconnectShare) {}

    private static final AtomicLong LAST_NUMBER = new AtomicLong();

    /**
     * Time to wait for the answers to open requests, which are counted as lost after it: twice the
     * client timeout in the configuration of the measured server.
     */
    private static final long ANSWER_WAIT_S = 8;

    final Histogram latencyMicros = new ConcurrentHistogram(3);
    final Queue<MeasuredRequest> requests = new ConcurrentLinkedQueue<>();
    private final ProtocolClient client;
    private final ProtocolClient retryClient;
    private final Mix mix;
    private final SplittableRandom random;

    MixedTraffic(ProtocolClient client, ProtocolClient retryClient, Mix mix, long seed) {
        this.client = client;
        this.retryClient = retryClient;
        this.mix = mix;
        this.random = new SplittableRandom(seed);
    }

    /** Sends requests for this time, without waiting for the last of them to end. */
    void send(double perSecond, double seconds) throws IOException {
        long start = System.nanoTime();
        for (double at = nextGapSeconds(perSecond); at < seconds; at += nextGapSeconds(perSecond)) {
            long due = start + (long) (at * 1e9);
            PreciseTimer.waitUntil(due);
            boolean isKeyed = random.nextDouble() < mix.keyedShare;
            String token =
                    isKeyed
                            ? String.format("%016x%016x", random.nextLong(), random.nextLong())
                            : null;
            boolean isRetried = isKeyed && random.nextDouble() < mix.retriedShare;
            MeasuredRequest request =
                    new MeasuredRequest(
                            LAST_NUMBER.incrementAndGet(),
                            due,
                            token,
                            isKeyed && random.nextDouble() < mix.disconnectShare);
            requests.add(request);
            request.outcome.thenAccept(
                    outcome -> {
                        if (outcome == MeasuredRequest.Outcome.SUCCEEDED) {
                            latencyMicros.recordValue(
                                    Math.max(1, (request.endNanos - due) / 1_000));
                        }
                        if (isRetried) {
                            retry(request);
                        }
                    });
            client.send(request);
        }
    }

    private double nextGapSeconds(double perSecond) {
        return RandomStreams.exponential(random, 1 / perSecond);
    }

    /** Retries a request, which has an outcome by now, under its token over the other protocol. */
    private void retry(MeasuredRequest first) {
        MeasuredRequest second =
                new MeasuredRequest(
                        LAST_NUMBER.incrementAndGet(), System.nanoTime(), first.token, false);
        requests.add(second);
        try {
            retryClient.send(second);
        } catch (IOException e) {
            second.end(MeasuredRequest.Outcome.UNANSWERED);
        }
    }

    /** Waits for the open requests and counts all by outcome; unanswered ones are lost. */
    Map<MeasuredRequest.Outcome, Long> awaitOutcomes() throws Exception {
        Map<MeasuredRequest.Outcome, Long> counts = new EnumMap<>(MeasuredRequest.Outcome.class);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(ANSWER_WAIT_S);
        for (MeasuredRequest request : requests) {
            MeasuredRequest.Outcome outcome;
            try {
                outcome =
                        request.outcome.get(
                                Math.max(1, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                outcome = MeasuredRequest.Outcome.UNANSWERED;
            }
            counts.merge(outcome, 1L, Long::sum);
        }
        return counts;
    }
}
