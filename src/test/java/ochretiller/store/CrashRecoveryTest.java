package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Files that are cut, flipped, half written and forgotten: nothing acknowledged is lost, nothing is
 * invented.
 */
class CrashRecoveryTest {
    /** A store's folder, and every value that each key was ever given. */
    private record Written(
            Map<String, byte[]> files, Map<String, String> live, Map<String, Set<String>> ever) {}

    private static Written written(int records) throws IOException {
        VolatileDirectory disk = new VolatileDirectory();
        Map<String, String> live = new TreeMap<>();
        Map<String, Set<String>> ever = new HashMap<>();
        try (StoreFixture bench = new StoreFixture(disk, StoreFixture.SMALL, 0).start()) {
            SplittableRandom chance = new SplittableRandom(3);
            for (int i = 0; i < records; i++) {
                String key = "k" + chance.nextInt(12);
                if (chance.nextInt(5) == 0) {
                    assertThat(bench.remove(key)).isEqualTo(AppendResult.DURABLE);
                    live.remove(key);
                } else {
                    String value = "v" + i + "x".repeat(chance.nextInt(20));
                    assertThat(bench.put(key, value)).isEqualTo(AppendResult.DURABLE);
                    live.put(key, value);
                    ever.computeIfAbsent(key, k -> new HashSet<>()).add(value);
                }
            }
            // as a kill leaves it: the last segment has no seal, and a compaction may be half way
            return new Written(disk.afterProcessKill().contents(), live, ever);
        }
    }

    /** Opens what is left, holds it against what was written, and goes on with it. */
    private static boolean damagedButNothingInvented(
            VolatileDirectory disk, Written written, String what) throws IOException {
        boolean damaged;
        try (StoreFixture bench = new StoreFixture(disk, StoreFixture.SMALL, 100)) {
            damaged = !bench.store.damageReports().isEmpty();
            assertThat(bench.store.incompleteUntilMillis() > bench.store.nowMillis())
                    .as(what)
                    .isEqualTo(damaged);
            bench.kept()
                    .forEach(
                            (key, value) ->
                                    assertThat(written.ever.get(key)).as(what).contains(value));
            if (!damaged && what.startsWith("flip")) {
                assertThat(bench.kept()).as(what).isEqualTo(written.live);
            }
            bench.start();
            assertThat(bench.put("next", "works")).as(what).isEqualTo(AppendResult.DURABLE);
            assertThat(bench.read("next")).as(what).isEqualTo("works");
        }
        try (StoreFixture bench =
                new StoreFixture(disk.afterProcessKill(), StoreFixture.SMALL, 200)) {
            assertThat(bench.kept()).as(what).containsEntry("next", "works");
        }
        return damaged;
    }

    @Test
    void cutAtEveryByteOfEveryFile() throws IOException {
        Written written = written(120);
        String last =
                written.files.keySet().stream()
                        .filter(name -> name.endsWith(".log"))
                        .max(String::compareTo)
                        .orElseThrow();
        assertThat(written.files.keySet().stream().filter(name -> name.endsWith(".log")).count())
                .isGreaterThan(3);
        for (Map.Entry<String, byte[]> file : written.files.entrySet()) {
            for (int length = 0; length < file.getValue().length; length++) {
                Map<String, byte[]> cut = new TreeMap<>(written.files);
                cut.put(file.getKey(), java.util.Arrays.copyOf(file.getValue(), length));
                String what = file.getKey() + " cut to " + length;
                boolean damaged =
                        damagedButNothingInvented(
                                VolatileDirectory.withContents(cut), written, what);
                // The end of the last segment was never written; a part of any other one was, and
                // is missed.
                if (file.getKey().equals(last) || !file.getKey().endsWith(".log")) {
                    assertThat(damaged).as(what).isFalse();
                } else {
                    assertThat(damaged).as(what).isTrue();
                }
            }
        }
    }

    /**
     * Records in front of a cut in the last segment, which alone can be half written, are all
     * there.
     */
    @Test
    void halfWrittenLastRecordLosesNoneBeforeIt() throws IOException {
        VolatileDirectory disk = new VolatileDirectory();
        List<Long> ends = new ArrayList<>();
        StoreLimits one =
                new StoreLimits(
                        1000,
                        1 << 20,
                        1 << 20,
                        1 << 20,
                        java.time.Duration.ofDays(1),
                        1 << 20,
                        0.4,
                        java.time.Duration.ofDays(1),
                        java.time.Duration.ofMillis(StoreFixture.LIFE));
        byte[] file;
        try (StoreFixture bench = new StoreFixture(disk, one, 0).start()) {
            for (int i = 0; i < 20; i++) {
                bench.put("k" + i, "v" + i);
                ends.add((long) disk.contents().get(RecordFormat.segmentFileName(1)).length);
            }
            file = disk.contents().get(RecordFormat.segmentFileName(1));
        }
        for (int length = RecordFormat.SEGMENT_HEADER_BYTES; length <= file.length; length++) {
            int end = length;
            Map<String, byte[]> cut =
                    Map.of(RecordFormat.segmentFileName(1), java.util.Arrays.copyOf(file, length));
            try (StoreFixture bench =
                    new StoreFixture(VolatileDirectory.withContents(cut), one, 0)) {
                assertThat(bench.kept())
                        .as("cut to " + length)
                        .hasSize((int) ends.stream().filter(e -> e <= end).count());
                assertThat(bench.store.damageReports()).isEmpty();
            }
        }
    }

    @Test
    void flippedBitIsSeenAndSpoilsNothingElse() throws IOException {
        Written written = written(60);
        SplittableRandom chance = new SplittableRandom(11);
        int seen = 0;
        int tried = 0;
        for (Map.Entry<String, byte[]> file : written.files.entrySet()) {
            for (int at = 0; at < file.getValue().length; at++) {
                byte[] flipped = file.getValue().clone();
                flipped[at] ^= (byte) (1 << chance.nextInt(8));
                Map<String, byte[]> files = new TreeMap<>(written.files);
                files.put(file.getKey(), flipped);
                // Without hints: a start that trusts one reads the values only when they are asked
                // for.
                files.keySet()
                        .removeIf(name -> name.endsWith(".hint") && !name.equals(file.getKey()));
                String what = "flip of byte " + at + " in " + file.getKey();
                boolean header =
                        at >= 64 && at < RecordFormat.SEGMENT_HEADER_BYTES; // four bytes that say
                // nothing
                tried++;
                if (damagedButNothingInvented(
                        VolatileDirectory.withContents(files),
                        written,
                        header ? "header " + what : what)) {
                    seen++;
                } else {
                    assertThat(file.getKey().endsWith(".log") && !header && at != 9)
                            .as(what + " was seen")
                            .isFalse();
                }
            }
        }
        assertThat(seen).isGreaterThan(tried / 2);
    }

    @Test
    void valueThatWentBadBehindAHintIsNotHandedOut() throws IOException {
        Written written = written(60);
        String first =
                written.files.keySet().stream()
                        .filter(name -> name.endsWith(".log"))
                        .findFirst()
                        .orElseThrow();
        Map<String, byte[]> files = new TreeMap<>(written.files);
        byte[] bad = files.get(first).clone();
        for (int at = RecordFormat.SEGMENT_HEADER_BYTES;
                at < bad.length - HintFile.SEAL_BYTES;
                at++) {
            bad[at] ^= 1;
        }
        files.put(first, bad);
        try (StoreFixture bench =
                new StoreFixture(VolatileDirectory.withContents(files), StoreFixture.SMALL, 100)) {
            Map<String, String> kept = bench.kept();
            bench.start();
            kept.forEach((key, value) -> assertThat(bench.read(key)).isIn(value, null));
        }
    }

    static IntStream seeds() {
        return IntStream.range(0, 60);
    }

    /**
     * Against a plain map: puts, removals, ageing, kills and power cuts at any time, one seed after
     * another.
     */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void randomLifeAgainstAPlainMap(int seed) throws IOException {
        SplittableRandom chance = new SplittableRandom(seed);
        VolatileDirectory disk = new VolatileDirectory();
        long clock = 0;
        /**
         * What each key may hold: one value where it was acknowledged, more where the disk has left
         * it open.
         */
        Map<String, Set<String>> may = new HashMap<>();
        Map<String, Long> expires = new HashMap<>();
        for (int life = 0; life < 6; life++) {
            String what = "seed " + seed + ", life " + life;
            try (StoreFixture bench = new StoreFixture(disk, StoreFixture.SMALL, clock)) {
                Map<String, String> kept = bench.kept();
                boolean damaged = bench.store.incompleteUntilMillis() > bench.store.nowMillis();
                long now = bench.store.nowMillis();
                may.forEach(
                        (key, values) -> {
                            boolean over = expires.get(key) <= now;
                            if (!over && !damaged) {
                                assertThat(values)
                                        .as(what + " " + key)
                                        .contains(kept.getOrDefault(key, ""));
                            }
                            if (!over && damaged && kept.containsKey(key)) {
                                assertThat(kept.get(key)).as(what).startsWith("v");
                            }
                        });
                kept.keySet().forEach(key -> assertThat(may).as(what).containsKey(key));
                // what was read is what holds from here on
                may.replaceAll((key, values) -> new HashSet<>(Set.of(kept.getOrDefault(key, ""))));
                bench.start();
                int failing = chance.nextInt(3) == 0 ? chance.nextInt(60) : -1;
                for (int i = 0; i < 60; i++) {
                    if (i == failing) {
                        disk.fault =
                                VolatileDirectory.failing(
                                        chance.nextBoolean() ? "force" : "write", "I/O error");
                    }
                    if (i == failing + 5) {
                        disk.fault = (operation, name) -> {};
                        assertThat(bench.probe()).as(what).isTrue();
                    }
                    if (chance.nextInt(20) == 0) {
                        bench.clock.addAndGet(chance.nextInt(2_000));
                    }
                    String key = "k" + chance.nextInt(10);
                    boolean removes = chance.nextInt(4) == 0;
                    String value =
                            removes ? "" : "v" + life + "." + i + "y".repeat(chance.nextInt(30));
                    long lives = 1_000 + chance.nextInt(8_000);
                    AppendResult ack = removes ? bench.remove(key) : bench.put(key, value, lives);
                    if (ack == AppendResult.DURABLE) {
                        may.put(key, new HashSet<>(Set.of(value)));
                    } else if (ack == AppendResult.UNKNOWN) {
                        may.computeIfAbsent(key, k -> new HashSet<>(Set.of(""))).add(value);
                    }
                    // where it is open which of two holds, the longer life is no proof: the key may
                    // be gone earlier
                    if (ack == AppendResult.DURABLE && !removes) {
                        expires.put(key, bench.store.nowMillis() + lives);
                    } else if (ack == AppendResult.UNKNOWN) {
                        expires.put(key, Long.MIN_VALUE);
                    } else {
                        expires.putIfAbsent(key, Long.MIN_VALUE);
                    }
                }
                clock = bench.clock.get();
                disk.fault = (operation, name) -> {};
                disk = chance.nextBoolean() ? disk.afterProcessKill() : disk.afterPowerLoss(chance);
            }
        }
    }

    /** The key of the nth put of the life below. */
    private static String nth(int number) {
        return number % 5 == 0 ? "long" + number : "again" + number % 3;
    }

    /**
     * A power cut and a kill in front of every operation of the disk, through rolls, drops and
     * compactions.
     */
    @Test
    void endInFrontOfEveryOperation() throws IOException {
        VolatileDirectory disk = new VolatileDirectory();
        Map<String, Integer> live = new java.util.concurrent.ConcurrentHashMap<>();
        AtomicInteger begun = new AtomicInteger();
        java.util.concurrent.atomic.AtomicLong time = new java.util.concurrent.atomic.AtomicLong();
        List<Runnable> checks = java.util.Collections.synchronizedList(new ArrayList<>());
        Map<String, Integer> operations = new java.util.concurrent.ConcurrentSkipListMap<>();
        disk.fault =
                (operation, name) -> {
                    if (operation.equals("read")) {
                        return;
                    }
                    int count = operations.merge(operation, 1, Integer::sum);
                    String what = operation + " " + count + " of " + name;
                    SplittableRandom chance = new SplittableRandom(checks.size());
                    // Operations of the compaction come here on its own thread while puts go on:
                    // what is there at the end is
                    // no older than what was acknowledged before the disk is looked at, no newer
                    // than what was begun after.
                    Map<String, Integer> acked = new TreeMap<>(live);
                    for (VolatileDirectory left :
                            List.of(
                                    disk.afterProcessKill(),
                                    disk.afterPowerLoss(chance),
                                    disk.afterPowerLoss(chance))) {
                        long now = time.get();
                        int last = begun.get();
                        checks.add(() -> expect(left, acked, last, now, what));
                    }
                };
        StoreLimits limits =
                new StoreLimits(
                        1000,
                        1 << 20,
                        1 << 20,
                        1_500,
                        Duration.ofDays(1),
                        1 << 30,
                        0.3,
                        Duration.ZERO,
                        Duration.ofMillis(StoreFixture.LIFE));
        try (StoreFixture bench = new StoreFixture(disk, limits, 0).start()) {
            for (int i = 0; i < 150; i++) {
                begun.set(i);
                assertThat(bench.put(nth(i), "v" + i)).isEqualTo(AppendResult.DURABLE);
                live.put(nth(i), i);
                time.set(bench.clock.addAndGet(50));
            }
            for (int i = 0; i < 20; i++) {
                time.set(bench.clock.addAndGet(300));
                bench.settle();
            }
            assertThat(bench.store.stats().compactedBytes())
                    .as("compaction took part")
                    .isPositive();
        }
        assertThat(operations)
                .containsKeys("write", "force", "create", "delete", "rename", "folder");
        disk.fault = (operation, name) -> {};
        checks.forEach(Runnable::run);
        assertThat(checks.size()).isGreaterThan(1_000);
    }

    private static void expect(
            VolatileDirectory left, Map<String, Integer> acked, int last, long now, String what) {
        try (StoreFixture bench = new StoreFixture(left, StoreFixture.SMALL, now)) {
            Map<String, String> kept = bench.kept();
            // Pages that came through in another order may look like damage behind what was
            // acknowledged; none of that is lost.
            assertThat(kept.keySet()).as(what).containsAll(acked.keySet());
            kept.forEach(
                    (key, value) -> {
                        int number = Integer.parseInt(value.substring(1));
                        assertThat(number)
                                .as(what + " " + key)
                                .isBetween(acked.getOrDefault(key, 0), last);
                        assertThat(nth(number)).as(what).isEqualTo(key);
                    });
        } catch (IOException e) {
            throw new AssertionError(what, e);
        }
    }
}
