package ochretiller.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.core.RandomStreams;
import org.junit.jupiter.api.Test;

class CoreTest {
    private final EventQueue events = new EventQueue();
    private final List<String> executed = new ArrayList<>();

    @Test
    void eventsRunByTimeAndThenInSchedulingOrder() {
        events.schedule(2.0, () -> executed.add("c"));
        events.schedule(1.0, () -> executed.add("a"));
        events.schedule(
                1.0,
                () -> {
                    executed.add("b");
                    events.schedule(0.0, () -> executed.add("at once"));
                });
        events.runUntil(1.5);
        assertThat(executed).containsExactly("a", "b", "at once");
        assertThat(events.nowSeconds()).isEqualTo(1.5);
        events.runUntil(3);
        assertThat(executed).endsWith("c");
    }

    @Test
    void cancelledEventIsNotExecuted() {
        events.schedule(1.0, () -> executed.add("a")).cancel();
        events.runUntil(2);
        assertThat(executed).isEmpty();
        assertThat(events.executedEvents()).isZero();
    }

    @Test
    void streamsDependOnSeedAndNameOnly() {
        RandomStreams streams = new RandomStreams(7);
        assertThat(streams.stream("box 1").nextLong())
                .isEqualTo(streams.stream("box 1").nextLong())
                .isNotEqualTo(streams.stream("box 2").nextLong())
                .isNotEqualTo(new RandomStreams(8).stream("box 1").nextLong());
    }

    @Test
    void distributionsHaveTheGivenMean() {
        SplittableRandom random = new SplittableRandom(1);
        double exponentialMean = 0;
        double logNormalMean = 0;
        for (int i = 0; i < 200_000; i++) {
            exponentialMean += RandomStreams.exponential(random, 3) / 200_000;
            logNormalMean += RandomStreams.logNormal(random, 3, 0.8) / 200_000;
        }
        assertThat(exponentialMean).isBetween(2.95, 3.05);
        assertThat(logNormalMean).isBetween(2.95, 3.05);
        assertThat(RandomStreams.logNormal(random, 3, 0)).isEqualTo(3);
    }
}
