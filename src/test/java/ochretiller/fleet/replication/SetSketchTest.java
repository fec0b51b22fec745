package ochretiller.fleet.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks the set difference that is decoded from two sketches. */
class SetSketchTest {
    private final SplittableRandom random = new SplittableRandom(7);

    private Set<Long> randomKeys(int count) {
        Set<Long> keys = new HashSet<>();
        while (keys.size() < count) {
            keys.add(random.nextLong());
        }
        return keys;
    }

    private static SetSketch sketch(int cells, Set<Long> first, Set<Long> second) {
        SetSketch sketch = new SetSketch(cells);
        first.forEach(sketch::add);
        second.forEach(sketch::add);
        return sketch;
    }

    @Test
    void differenceIsDecodedCompletelyOrNotAtAll() {
        int decoded = 0;
        for (int i = 0; i < 400; i++) {
            Set<Long> common = randomKeys(random.nextInt(2_000));
            Set<Long> onlyInFirst = randomKeys(random.nextInt(60));
            Set<Long> onlyInSecond = randomKeys(random.nextInt(60));
            SetSketch first = sketch(192, common, onlyInFirst);
            SetSketch second = SetSketch.fromBytes(sketch(192, common, onlyInSecond).toBytes());
            Optional<SetDifference> difference = first.subtract(second);
            if (difference.isEmpty()) {
                continue;
            }
            decoded++;
            assertThat(difference.get()).isEqualTo(new SetDifference(onlyInFirst, onlyInSecond));
        }
        assertThat(decoded)
                .as("two thirds of a key per cell are nearly always decoded")
                .isGreaterThan(380);
    }

    @Test
    void excessiveDifferenceIsNotDecodedAndEqualSetsAreRecognised() {
        SetSketch one = sketch(24, randomKeys(200), Set.of());
        SetSketch other = sketch(24, randomKeys(200), Set.of());
        assertThat(one.subtract(other)).isEmpty();
        Set<Long> same = randomKeys(5_000);
        assertThat(sketch(24, same, Set.of()).subtract(sketch(24, same, Set.of())))
                .contains(new SetDifference(Set.of(), Set.of()));
        assertThat(sketch(24, same, Set.of()).subtract(sketch(48, same, Set.of())))
                .as("sketches of different sizes")
                .isEmpty();
    }

    @Test
    void decodingAForgedSketchTerminates() {
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = new byte[24 * SetSketch.CELL_BYTES];
            random.nextBytes(bytes);
            assertThat(SetSketch.fromBytes(bytes).subtract(new SetSketch(24))).isEmpty();
        }
    }
}
