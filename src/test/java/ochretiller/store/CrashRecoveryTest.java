package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Files that are cut, flipped, torn and forgotten: nothing acknowledged is lost, and nothing is
 * invented.
 */
class CrashRecoveryTest {
    /** A store's files, the value that each key holds, and every value that it ever held. */
    private record Written(
            Map<String, byte[]> files, Map<String, String> live, Map<String, Set<String>> ever) {
        String lastSegment() {
            return logs().stream().max(String::compareTo).orElseThrow();
        }

        List<String> logs() {
            return files.keySet().stream().filter(name -> name.endsWith(".log")).toList();
        }

        Map<String, byte[]> filesWith(String name, byte[] contents) {
            Map<String, byte[]> changed = new TreeMap<>(files);
            changed.put(name, contents);
            return changed;
        }
    }

    /** As a kill leaves it: the last segment has no seal, and a compaction may be half way. */
    private static Written write(int records) throws IOException {
        VolatileDirectory directory = new VolatileDirectory();
        Map<String, String> live = new TreeMap<>();
        Map<String, Set<String>> ever = new HashMap<>();
        try (StoreFixture fixture =
                new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, 0).start()) {
            SplittableRandom random = new SplittableRandom(3);
            for (int i = 0; i < records; i++) {
                String key = "k" + random.nextInt(12);
                if (random.nextInt(5) == 0) {
                    assertThat(fixture.remove(key)).isEqualTo(AppendResult.DURABLE);
                    live.remove(key);
                } else {
                    String value = "v" + i + "x".repeat(random.nextInt(20));
                    assertThat(fixture.put(key, value)).isEqualTo(AppendResult.DURABLE);
                    live.put(key, value);
                    ever.computeIfAbsent(key, ignored -> new HashSet<>()).add(value);
                }
            }
            return new Written(directory.afterProcessKill().contents(), live, ever);
        }
    }

    /**
     * Opens what is left, compares it with what was written, and goes on with it; returns whether
     * damage was reported.
     */
    private static boolean reopen(
            VolatileDirectory directory, Written written, String what, boolean allMustBeThere)
            throws IOException {
        boolean damaged;
        try (StoreFixture fixture = new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, 100)) {
            damaged = !fixture.store.damageReports().isEmpty();
            assertThat(!fixture.store.incompleteFor().isZero()).as(what).isEqualTo(damaged);
            fixture.recovered()
                    .forEach(
                            (key, value) ->
                                    assertThat(written.ever.get(key)).as(what).contains(value));
            if (!damaged && allMustBeThere) {
                assertThat(fixture.recovered()).as(what).isEqualTo(written.live);
            }
            fixture.start();
            assertThat(fixture.put("next", "works")).as(what).isEqualTo(AppendResult.DURABLE);
            assertThat(fixture.read("next")).as(what).contains("works");
        }
        try (StoreFixture fixture =
                new StoreFixture(directory.afterProcessKill(), StoreFixture.SMALL_SEGMENTS, 200)) {
            assertThat(fixture.recovered()).as(what).containsEntry("next", "works");
        }
        return damaged;
    }

    @Test
    void cutAtEveryByteOfEveryFileIsReportedUnlessItIsATornWrite() throws IOException {
        Written written = write(120);
        assertThat(written.logs()).hasSizeGreaterThan(3);
        for (Map.Entry<String, byte[]> file : written.files.entrySet()) {
            String name = file.getKey();
            // The end of the last segment was never written; a part of any other one was, and is
            // missed.
            boolean mayBeTorn = name.equals(written.lastSegment()) || !name.endsWith(".log");
            for (int length = 0; length < file.getValue().length; length++) {
                byte[] cut = Arrays.copyOf(file.getValue(), length);
                VolatileDirectory directory =
                        VolatileDirectory.withContents(written.filesWith(name, cut));
                String what = name + " cut to " + length;
                assertThat(reopen(directory, written, what, false)).as(what).isEqualTo(!mayBeTorn);
            }
        }
    }

    @Test
    void tornLastRecordLosesNoneBeforeIt() throws IOException {
        VolatileDirectory directory = new VolatileDirectory();
        String segment = SegmentFileName.ofLog(1);
        StoreLimits oneSegment =
                StoreFixture.limits()
                        .segmentBytes(1 << 20)
                        .compactionBytesPerSecond(1 << 20)
                        .compactionMinRemainingLife(Duration.ofDays(1))
                        .build();
        List<Integer> recordEnds = new ArrayList<>();
        byte[] file;
        try (StoreFixture fixture = new StoreFixture(directory, oneSegment, 0).start()) {
            for (int i = 0; i < 20; i++) {
                fixture.put("k" + i, "v" + i);
                recordEnds.add(directory.contents().get(segment).length);
            }
            file = directory.contents().get(segment);
        }
        for (int length = SegmentHeader.BYTES; length <= file.length; length++) {
            int end = length;
            long wholeRecords = recordEnds.stream().filter(recordEnd -> recordEnd <= end).count();
            Map<String, byte[]> cut = Map.of(segment, Arrays.copyOf(file, length));
            try (StoreFixture fixture =
                    new StoreFixture(VolatileDirectory.withContents(cut), oneSegment, 0)) {
                assertThat(fixture.recovered()).as("cut to " + length).hasSize((int) wholeRecords);
                assertThat(fixture.store.damageReports()).isEmpty();
            }
        }
    }

    @Test
    void flippedBitIsReportedAndSpoilsNothingElse() throws IOException {
        Written written = write(60);
        SplittableRandom random = new SplittableRandom(11);
        int reported = 0;
        int flips = 0;
        for (Map.Entry<String, byte[]> file : written.files.entrySet()) {
            String name = file.getKey();
            for (int at = 0; at < file.getValue().length; at++) {
                byte[] flipped = file.getValue().clone();
                flipped[at] ^= (byte) (1 << random.nextInt(8));
                Map<String, byte[]> files = written.filesWith(name, flipped);
                // Without other hints: a start that trusts one reads the values only when they are
                // asked for.
                files.keySet().removeIf(each -> each.endsWith(".hint") && !each.equals(name));
                // The checksum of the header and its last four bytes, which mean nothing.
                boolean isHeaderEnd = at >= 64 && at < SegmentHeader.BYTES;
                String what = "flip of byte " + at + " in " + name;
                flips++;
                if (reopen(VolatileDirectory.withContents(files), written, what, !isHeaderEnd)) {
                    reported++;
                } else {
                    boolean mustBeReported = name.endsWith(".log") && !isHeaderEnd && at != 9;
                    assertThat(mustBeReported).as(what + " was reported").isFalse();
                }
            }
        }
        assertThat(reported).isGreaterThan(flips / 2);
    }

    @Test
    void valueThatWentBadBehindAHintIsNotHandedOut() throws IOException {
        Written written = write(60);
        String first = written.logs().get(0);
        byte[] bad = written.files.get(first).clone();
        for (int at = SegmentHeader.BYTES; at < bad.length - RecordFormat.SEAL_BYTES; at++) {
            bad[at] ^= 1;
        }
        VolatileDirectory directory = VolatileDirectory.withContents(written.filesWith(first, bad));
        try (StoreFixture fixture = new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, 100)) {
            Map<String, String> recovered = fixture.recovered();
            fixture.start();
            recovered.forEach(
                    (key, value) ->
                            fixture.read(key).ifPresent(read -> assertThat(read).isEqualTo(value)));
        }
    }
}
