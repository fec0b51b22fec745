package ochretiller.fleet.copies;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What two sketches tell of what their sets differ in. */
class SketchTest {
    private final SplittableRandom chance = new SplittableRandom(7);

    private Set<Long> marks(int count) {
        Set<Long> all = new HashSet<>();
        while (all.size() < count) {
            all.add(chance.nextLong());
        }
        return all;
    }

    private static Sketch sketch(int cells, Set<Long> first, Set<Long> second) {
        Sketch sketch = new Sketch(cells);
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
            Sketch here = sketch(192, both, mine);
            Sketch there = Sketch.of(sketch(192, both, theirs).bytes());
            Optional<Sketch.Difference> difference = here.less(there);
            if (difference.isEmpty()) {
                continue;
            }
            told++;
            assertThat(difference.get()).isEqualTo(new Sketch.Difference(mine, theirs));
        }
        assertThat(told)
                .as("two thirds of a mark for each cell are told nearly always")
                .isGreaterThan(380);
    }

    @Test
    void tooMuchTellsNothingAndEqualOnesTellThatTheyAre() {
        assertThat(sketch(24, marks(200), Set.of()).less(sketch(24, marks(200), Set.of())))
                .isEmpty();
        Set<Long> same = marks(5_000);
        assertThat(sketch(24, same, Set.of()).less(sketch(24, same, Set.of())))
                .contains(new Sketch.Difference(Set.of(), Set.of()));
        assertThat(sketch(24, same, Set.of()).less(sketch(48, same, Set.of())))
                .as("of another size")
                .isEmpty();
    }

    @Test
    void sketchesOfAnybodysMakingEnd() {
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = new byte[24 * Sketch.CELL];
            chance.nextBytes(bytes);
            assertThat(Sketch.of(bytes).less(new Sketch(24))).isEmpty();
        }
    }
}
