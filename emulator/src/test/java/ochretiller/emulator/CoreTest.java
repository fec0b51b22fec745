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
        events.after(2.0, () -> executed.add("c"));
        events.after(1.0, () -> executed.add("a"));
        events.after(
                1.0,
                () -> {
                    executed.add("b");
                    events.after(0.0, () -> executed.add("at once"));
                });
        events.run(1.5);
        assertThat(executed).containsExactly("a", "b", "at once");
        assertThat(events.seconds()).isEqualTo(1.5);
        events.run(3);
        assertThat(executed).endsWith("c");
    }

    @Test
    void cancelledEventIsNotExecuted() {
        events.after(1.0, () -> executed.add("a")).cancel();
        events.run(2);
        assertThat(executed).isEmpty();
        assertThat(events.done()).isZero();
    }

    @Test
    void streamsDependOnSeedAndNameOnly() {
        RandomStreams streams = new RandomStreams(7);
        assertThat(streams.of("box 1").nextLong())
                .isEqualTo(streams.of("box 1").nextLong())
                .isNotEqualTo(streams.of("box 2").nextLong())
                .isNotEqualTo(new RandomStreams(8).of("box 1").nextLong());
    }

    @Test
    void distributionsHaveTheGivenMean() {
        SplittableRandom random = new SplittableRandom(1);
        double exponentialMean = 0;
        double logNormalMean = 0;
        for (int i = 0; i < 200_000; i++) {
            exponentialMean += RandomStreams.exponential(random, 3) / 200_000;
            logNormalMean += RandomStreams.around(random, 3, 0.8) / 200_000;
        }
        assertThat(exponentialMean).isBetween(2.95, 3.05);
        assertThat(logNormalMean).isBetween(2.95, 3.05);
        assertThat(RandomStreams.around(random, 3, 0)).isEqualTo(3);
    }
}
