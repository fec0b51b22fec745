package ochretiller.fleet.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What two sketches tell of what their sets differ in. */
class SetSketchTest {
    private final SplittableRandom chance = new SplittableRandom(7);

    private Set<Long> marks(int count) {
        Set<Long> all = new HashSet<>();
        while (all.size() < count) {
            all.add(chance.nextLong());
        }
        return all;
    }

    private static SetSketch sketch(int cells, Set<Long> first, Set<Long> second) {
        SetSketch sketch = new SetSketch(cells);
        first.forEach(sketch::add);
        second.forEach(sketch::add);
        return sketch;
    }

    @Test
    void whatDiffersComesOutWholeOrNotAtAll() {
        int told = 0;
        for (int i = 0; i < 400; i++) {
            Set<Long> both = marks(chance.nextInt(2_000));
            Set<Long> mine = marks(chance.nextInt(60));
            Set<Long> theirs = marks(chance.nextInt(60));
            SetSketch here = sketch(192, both, mine);
            SetSketch there = SetSketch.fromBytes(sketch(192, both, theirs).toBytes());
            Optional<SetSketch.SetDifference> difference = here.subtract(there);
            if (difference.isEmpty()) {
                continue;
            }
            told++;
            assertThat(difference.get()).isEqualTo(new SetSketch.SetDifference(mine, theirs));
        }
        assertThat(told)
                .as("two thirds of a mark for each cell are told nearly always")
                .isGreaterThan(380);
    }

    @Test
    void tooMuchTellsNothingAndEqualOnesTellThatTheyAre() {
        assertThat(sketch(24, marks(200), Set.of()).subtract(sketch(24, marks(200), Set.of())))
                .isEmpty();
        Set<Long> same = marks(5_000);
        assertThat(sketch(24, same, Set.of()).subtract(sketch(24, same, Set.of())))
                .contains(new SetSketch.SetDifference(Set.of(), Set.of()));
        assertThat(sketch(24, same, Set.of()).subtract(sketch(48, same, Set.of())))
                .as("of another size")
                .isEmpty();
    }

    @Test
    void sketchesOfAnybodysMakingEnd() {
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = new byte[24 * SetSketch.CELL_BYTES];
            chance.nextBytes(bytes);
            assertThat(SetSketch.fromBytes(bytes).subtract(new SetSketch(24))).isEmpty();
        }
    }
}
