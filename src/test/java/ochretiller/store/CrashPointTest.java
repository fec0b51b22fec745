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

/**
 * Simulates a process kill and power losses before every disk operation, while segments roll,
 * expire and are compacted: recovery must find every acknowledged record.
 */
class CrashPointTest {
    /** Returns the key of the nth put of the test. */
    private static String nthKey(int number) {
        return number % 5 == 0 ? "long" + number : "again" + number % 3;
    }

    /** The directory after a crash before one disk operation, and what recovery must find in it. */
    private record CrashPoint(
            VolatileDirectory directory,
            Map<String, Integer> acknowledged,
            int lastStarted,
            long uptimeMillis,
            String context) {
        void check() {
            try (StoreFixture fixture =
                    new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, uptimeMillis)) {
                Map<String, String> recovered = fixture.recoveredValues();
                // Pages written out of order may look like damage after the acknowledged records,
                // none of which may be lost.
                assertThat(recovered.keySet()).as(context).containsAll(acknowledged.keySet());
                recovered.forEach(
                        (key, value) -> {
                            int number = Integer.parseInt(value.substring(1));
                            assertThat(number)
                                    .as(context + " " + key)
                                    .isBetween(acknowledged.getOrDefault(key, 0), lastStarted);
                            assertThat(nthKey(number)).as(context).isEqualTo(key);
                        });
            } catch (IOException e) {
                throw new AssertionError(context, e);
            }
        }
    }

    /**
     * Collects crash points while a store runs. The writer thread reports its operations
     * concurrently with the puts.
     */
    private static final class CrashPoints {
        private final VolatileDirectory directory;
        private final Map<String, Integer> acknowledged = new ConcurrentHashMap<>();
        private final AtomicInteger lastStarted = new AtomicInteger();
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
            String context = operation + " " + count + " of " + name;
            SplittableRandom random = new SplittableRandom(points.size());
            // Recovery must find at least what was acknowledged before the directory is copied, and
            // at most what was started before lastStarted is read below.
            Map<String, Integer> acknowledgedBefore = new TreeMap<>(acknowledged);
            List<VolatileDirectory> directoriesAfterCrash =
                    List.of(
                            directory.afterProcessKill(),
                            directory.afterPowerLoss(random),
                            directory.afterPowerLoss(random));
            for (VolatileDirectory afterCrash : directoriesAfterCrash) {
                points.add(
                        new CrashPoint(
                                afterCrash,
                                acknowledgedBefore,
                                lastStarted.get(),
                                uptimeMillis.get(),
                                context));
            }
        }
    }

    @Test
    void crashBeforeAnyOperationLosesNoAcknowledgedRecord() throws IOException {
        VolatileDirectory directory = new VolatileDirectory();
        CrashPoints crashes = new CrashPoints(directory);
        directory.fault = crashes::before;
        StoreLimits limits =
                StoreFixture.limits().segmentBytes(1_500).compactionDeadRatio(0.3).build();
        try (StoreFixture fixture = new StoreFixture(directory, limits, 0).start()) {
            for (int i = 0; i < 150; i++) {
                crashes.lastStarted.set(i);
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
