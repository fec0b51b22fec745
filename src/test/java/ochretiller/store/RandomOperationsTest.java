package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares a store with a map over random puts, removals, expiry, disk failures, process kills and
 * power losses.
 */
class RandomOperationsTest {
    private static final int SESSIONS = 6;
    private static final int APPENDS = 60;
    private static final int NO_FAILURE = -1;

    /** Represents a key without a value. */
    private static final String NONE = "";

    static IntStream seeds() {
        return IntStream.range(0, 60);
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void storeAgreesWithAMapUnderRandomOperations(int seed) throws IOException {
        Model model = new Model(seed);
        VolatileDirectory directory = new VolatileDirectory();
        long uptimeMillis = 0;
        for (int session = 0; session < SESSIONS; session++) {
            try (StoreFixture fixture =
                    new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, uptimeMillis)) {
                model.compareAfterRecovery(fixture, session);
                fixture.start();
                model.runSession(fixture, directory, session);
                uptimeMillis = fixture.uptimeMillis.get();
                directory.fault = VolatileDirectory.NO_FAULT;
                directory = model.crash(directory);
            }
        }
    }

    /** The reference map, and the random choices of one seed. */
    private static final class Model {
        private final int seed;
        private final SplittableRandom random;

        /**
         * The possible values of each key: one after an acknowledged append, several after an
         * append with an unknown result.
         */
        private final Map<String, Set<String>> possibleValues = new HashMap<>();

        private final Map<String, Long> expiresAtMillis = new HashMap<>();

        Model(int seed) {
            this.seed = seed;
            this.random = new SplittableRandom(seed);
        }

        private String describe(int session) {
            return "seed " + seed + ", session " + session;
        }

        /** Compares the recovered values with the model, which then adopts them. */
        void compareAfterRecovery(StoreFixture fixture, int session) {
            String context = describe(session);
            Map<String, String> recovered = fixture.recoveredValues();
            boolean incomplete = !fixture.store.timeUntilComplete().isZero();
            long nowMillis = fixture.store.nowMillis();
            possibleValues.forEach(
                    (key, values) -> {
                        boolean expired = expiresAtMillis.get(key) <= nowMillis;
                        if (!expired && !incomplete) {
                            assertThat(values)
                                    .as(context + " " + key)
                                    .contains(recovered.getOrDefault(key, NONE));
                        }
                        if (!expired && incomplete && recovered.containsKey(key)) {
                            assertThat(recovered.get(key)).as(context).startsWith("v");
                        }
                    });
            recovered
                    .keySet()
                    .forEach(key -> assertThat(possibleValues).as(context).containsKey(key));
            possibleValues.replaceAll(
                    (key, values) -> new HashSet<>(Set.of(recovered.getOrDefault(key, NONE))));
        }

        void runSession(StoreFixture fixture, VolatileDirectory directory, int session) {
            int failingAppend = random.nextInt(3) == 0 ? random.nextInt(APPENDS) : NO_FAILURE;
            for (int i = 0; i < APPENDS; i++) {
                if (i == failingAppend) {
                    String operation = random.nextBoolean() ? "force" : "write";
                    directory.fault = VolatileDirectory.failOn(operation, "I/O error");
                }
                if (i == failingAppend + 5) {
                    directory.fault = VolatileDirectory.NO_FAULT;
                    assertThat(fixture.probe()).as(describe(session)).isTrue();
                }
                if (random.nextInt(20) == 0) {
                    fixture.uptimeMillis.addAndGet(random.nextInt(2_000));
                }
                append(fixture, session, i);
            }
        }

        private void append(StoreFixture fixture, int session, int number) {
            String key = "k" + random.nextInt(10);
            boolean removes = random.nextInt(4) == 0;
            String value =
                    removes ? NONE : "v" + session + "." + number + "y".repeat(random.nextInt(30));
            long lifetimeMillis = 1_000L + random.nextInt(8_000);
            AppendResult result =
                    removes ? fixture.remove(key) : fixture.put(key, value, lifetimeMillis);
            if (result == AppendResult.DURABLE) {
                possibleValues.put(key, new HashSet<>(Set.of(value)));
            } else if (result == AppendResult.UNKNOWN) {
                possibleValues
                        .computeIfAbsent(key, ignored -> new HashSet<>(Set.of(NONE)))
                        .add(value);
            }
            // If it is unknown which of two values is stored, the key may expire at the earlier of
            // their expiry times.
            if (result == AppendResult.DURABLE && !removes) {
                expiresAtMillis.put(key, fixture.store.nowMillis() + lifetimeMillis);
            } else if (result == AppendResult.UNKNOWN) {
                expiresAtMillis.put(key, Long.MIN_VALUE);
            } else {
                expiresAtMillis.putIfAbsent(key, Long.MIN_VALUE);
            }
        }

        VolatileDirectory crash(VolatileDirectory directory) {
            return random.nextBoolean()
                    ? directory.afterProcessKill()
                    : directory.afterPowerLoss(random);
        }
    }
}
