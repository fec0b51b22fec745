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
 * Open-loop arrivals by seed on one side, with keyed ones, repeats on the other side, and callers
 * that vanish.
 */
final class MixedTraffic {
    /** What is sent, as shares. */
    record Mix(double keyed, double repeated, double vanishing) {}

    private static final AtomicLong NUMBERS = new AtomicLong();

    /**
     * A request is lost that has no answer so long after it was sent: twice the client timeout of
     * the load's configuration.
     */
    private static final long LOST_S = 8;

    final Histogram took = new ConcurrentHistogram(3);
    final Queue<MeasuredRequest> asks = new ConcurrentLinkedQueue<>();
    private final ProtocolClient side;
    private final ProtocolClient other;
    private final Mix mix;
    private final SplittableRandom chance;

    MixedTraffic(ProtocolClient side, ProtocolClient other, Mix mix, long seed) {
        this.side = side;
        this.other = other;
        this.mix = mix;
        this.chance = new SplittableRandom(seed);
    }

    /** Sends so many a second for so long, from now. */
    void send(double perSecond, double seconds) throws IOException {
        long start = System.nanoTime();
        for (double at = gap(perSecond); at < seconds; at += gap(perSecond)) {
            long due = start + (long) (at * 1e9);
            PreciseTimer.until(due);
            boolean keyed = chance.nextDouble() < mix.keyed;
            String token =
                    keyed
                            ? String.format("%016x%016x", chance.nextLong(), chance.nextLong())
                            : null;
            boolean repeats = keyed && chance.nextDouble() < mix.repeated;
            MeasuredRequest ask =
                    new MeasuredRequest(
                            NUMBERS.incrementAndGet(),
                            due,
                            token,
                            keyed && chance.nextDouble() < mix.vanishing);
            asks.add(ask);
            ask.outcome.thenAccept(
                    outcome -> {
                        if (outcome == MeasuredRequest.Outcome.SUCCEEDED) {
                            took.recordValue(Math.max(1, (ask.answeredAt - due) / 1_000));
                        }
                        if (repeats) {
                            repeat(ask);
                        }
                    });
            side.send(ask);
        }
    }

    private double gap(double perSecond) {
        return RandomStreams.exponential(chance, 1 / perSecond);
    }

    /**
     * Under the same key by the other protocol, once the first has its answer or its caller has
     * gone.
     */
    private void repeat(MeasuredRequest first) {
        MeasuredRequest again =
                new MeasuredRequest(
                        NUMBERS.incrementAndGet(), System.nanoTime(), first.token, false);
        asks.add(again);
        try {
            other.send(again);
        } catch (IOException e) {
            again.ends(MeasuredRequest.Outcome.NONE);
        }
    }

    /** Waits for what is open; what stays without an answer is lost. */
    Map<MeasuredRequest.Outcome, Long> outcomes() throws Exception {
        Map<MeasuredRequest.Outcome, Long> counts = new EnumMap<>(MeasuredRequest.Outcome.class);
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LOST_S);
        for (MeasuredRequest ask : asks) {
            MeasuredRequest.Outcome outcome;
            try {
                outcome =
                        ask.outcome.get(
                                Math.max(1, until - System.nanoTime()), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                outcome = MeasuredRequest.Outcome.NONE;
            }
            counts.merge(outcome, 1L, Long::sum);
        }
        return counts;
    }
}
