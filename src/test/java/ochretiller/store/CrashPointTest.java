package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** A kill and power losses before every single operation of the disk. */
class CrashPointTest {
    /** The key of the nth put of the run below. */
    private static String nthKey(int number) {
        return number % 5 == 0 ? "long" + number : "again" + number % 3;
    }

    /** What a crash before one operation of the disk has left, and what must be found in it. */
    private record CrashPoint(
            VolatileDirectory left,
            Map<String, Integer> acknowledged,
            int lastBegun,
            long uptimeMillis,
            String what) {
        void check() {
            try (StoreFixture fixture =
                    new StoreFixture(left, StoreFixture.SMALL_SEGMENTS, uptimeMillis)) {
                Map<String, String> recovered = fixture.recovered();
                // Pages that came through in another order may look like damage behind what was
                // acknowledged; none of that is lost.
                assertThat(recovered.keySet()).as(what).containsAll(acknowledged.keySet());
                recovered.forEach(
                        (key, value) -> {
                            int number = Integer.parseInt(value.substring(1));
                            assertThat(number)
                                    .as(what + " " + key)
                                    .isBetween(acknowledged.getOrDefault(key, 0), lastBegun);
                            assertThat(nthKey(number)).as(what).isEqualTo(key);
                        });
            } catch (IOException e) {
                throw new AssertionError(what, e);
            }
        }
    }

    /**
     * Collects crash points while a store runs. Operations of the writer thread come in while puts
     * go on.
     */
    private static final class CrashPoints {
        private final VolatileDirectory directory;
        private final Map<String, Integer> acknowledged = new ConcurrentHashMap<>();
        private final AtomicInteger lastBegun = new AtomicInteger();
        private final AtomicLong uptimeMillis = new AtomicLong();
        private final Map<String, Integer> operations = new ConcurrentSkipListMap<>();
        private final List<CrashPoint> points = Collections.synchronizedList(new ArrayList<>());

        CrashPoints(VolatileDirectory directory) {
            this.directory = directory;
        }

        void before(String operation, String name) {
            if (operation.equals("read")) {
                return;
            }
            int count = operations.merge(operation, 1, Integer::sum);
            String what = operation + " " + count + " of " + name;
            SplittableRandom random = new SplittableRandom(points.size());
            // What is there at the end is no older than what was acknowledged before the disk is
            // looked at, and no newer than what was begun after.
            Map<String, Integer> acknowledgedBefore = new TreeMap<>(acknowledged);
            List<VolatileDirectory> outcomes =
                    List.of(
                            directory.afterProcessKill(),
                            directory.afterPowerLoss(random),
                            directory.afterPowerLoss(random));
            for (VolatileDirectory left : outcomes) {
                points.add(
                        new CrashPoint(
                                left,
                                acknowledgedBefore,
                                lastBegun.get(),
                                uptimeMillis.get(),
                                what));
            }
        }
    }

    @Test
    void crashBeforeAnyOperationLosesNothingAcknowledgedThroughRollsExpiryAndCompaction()
            throws IOException {
        VolatileDirectory directory = new VolatileDirectory();
        CrashPoints crashes = new CrashPoints(directory);
        directory.fault = crashes::before;
        StoreLimits limits =
                StoreFixture.limits().segmentBytes(1_500).compactionDeadRatio(0.3).build();
        try (StoreFixture fixture = new StoreFixture(directory, limits, 0).start()) {
            for (int i = 0; i < 150; i++) {
                crashes.lastBegun.set(i);
                assertThat(fixture.put(nthKey(i), "v" + i)).isEqualTo(AppendResult.DURABLE);
                crashes.acknowledged.put(nthKey(i), i);
                crashes.uptimeMillis.set(fixture.uptimeMillis.addAndGet(50));
            }
            for (int i = 0; i < 20; i++) {
                crashes.uptimeMillis.set(fixture.uptimeMillis.addAndGet(300));
                fixture.awaitMaintenance();
            }
            assertThat(fixture.store.stats().compactedBytes())
                    .as("compaction took part")
                    .isPositive();
        }
        assertThat(crashes.operations)
                .containsKeys("write", "force", "create", "delete", "rename", "folder");
        directory.fault = VolatileDirectory.NO_FAULT;
        crashes.points.forEach(CrashPoint::check);
        assertThat(crashes.points.size()).isGreaterThan(1_000);
    }
}
