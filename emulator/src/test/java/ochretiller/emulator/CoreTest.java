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
    private final List<String> happened = new ArrayList<>();

    @Test
    void eventsComeByTimeAndThenInTheOrderInWhichTheyWereSaid() {
        events.after(2.0, () -> happened.add("c"));
        events.after(1.0, () -> happened.add("a"));
        events.after(
                1.0,
                () -> {
                    happened.add("b");
                    events.after(0.0, () -> happened.add("at once"));
                });
        events.run(1.5);
        assertThat(happened).containsExactly("a", "b", "at once");
        assertThat(events.seconds()).isEqualTo(1.5);
        events.run(3);
        assertThat(happened).endsWith("c");
    }

    @Test
    void whatIsCalledOffDoesNotHappen() {
        events.after(1.0, () -> happened.add("a")).cancel();
        events.run(2);
        assertThat(happened).isEmpty();
        assertThat(events.done()).isZero();
    }

    @Test
    void partsHaveChanceOfTheirOwn() {
        RandomStreams seeds = new RandomStreams(7);
        assertThat(seeds.of("box 1").nextLong())
                .isEqualTo(seeds.of("box 1").nextLong())
                .isNotEqualTo(seeds.of("box 2").nextLong())
                .isNotEqualTo(new RandomStreams(8).of("box 1").nextLong());
    }

    @Test
    void drawsHaveTheirMeans() {
        SplittableRandom chance = new SplittableRandom(1);
        double exponential = 0;
        double around = 0;
        for (int i = 0; i < 200_000; i++) {
            exponential += RandomStreams.exponential(chance, 3) / 200_000;
            around += RandomStreams.around(chance, 3, 0.8) / 200_000;
        }
        assertThat(exponential).isBetween(2.95, 3.05);
        assertThat(around).isBetween(2.95, 3.05);
        assertThat(RandomStreams.around(chance, 3, 0)).isEqualTo(3);
    }
}
