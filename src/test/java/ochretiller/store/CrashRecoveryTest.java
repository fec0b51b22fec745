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
 * Recovers stores whose files were truncated or corrupted: no acknowledged record may be lost and
 * no value returned that was never written.
 */
class CrashRecoveryTest {
    /** The files of a store, the current value of each key, and all values that it ever had. */
    private record Snapshot(
            Map<String, byte[]> files,
            Map<String, String> currentValues,
            Map<String, Set<String>> allValues) {
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

    /**
     * Writes a store and kills its process: the last segment has no seal, and a compaction may be
     * incomplete.
     */
    private static Snapshot write(int records) throws IOException {
        VolatileDirectory directory = new VolatileDirectory();
        Map<String, String> currentValues = new TreeMap<>();
        Map<String, Set<String>> allValues = new HashMap<>();
        try (StoreFixture fixture =
                new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, 0).start()) {
            SplittableRandom random = new SplittableRandom(3);
            for (int i = 0; i < records; i++) {
                String key = "k" + random.nextInt(12);
                if (random.nextInt(5) == 0) {
                    assertThat(fixture.remove(key)).isEqualTo(AppendResult.DURABLE);
                    currentValues.remove(key);
                } else {
                    String value = "v" + i + "x".repeat(random.nextInt(20));
                    assertThat(fixture.put(key, value)).isEqualTo(AppendResult.DURABLE);
                    currentValues.put(key, value);
                    allValues.computeIfAbsent(key, ignored -> new HashSet<>()).add(value);
                }
            }
            return new Snapshot(directory.afterProcessKill().contents(), currentValues, allValues);
        }
    }

    /**
     * Recovers a directory, compares it with what was written, and appends to it; returns whether
     * damage was reported.
     */
    private static boolean reopen(
            VolatileDirectory directory, Snapshot written, String context, boolean expectsAllKeys)
            throws IOException {
        boolean damaged;
        try (StoreFixture fixture = new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, 100)) {
            damaged = !fixture.store.damageReports().isEmpty();
            assertThat(!fixture.store.timeUntilComplete().isZero()).as(context).isEqualTo(damaged);
            fixture.recoveredValues()
                    .forEach(
                            (key, value) ->
                                    assertThat(written.allValues.get(key))
                                            .as(context)
                                            .contains(value));
            if (!damaged && expectsAllKeys) {
                assertThat(fixture.recoveredValues()).as(context).isEqualTo(written.currentValues);
            }
            fixture.start();
            assertThat(fixture.put("next", "works")).as(context).isEqualTo(AppendResult.DURABLE);
            assertThat(fixture.read("next")).as(context).contains("works");
        }
        try (StoreFixture fixture =
                new StoreFixture(directory.afterProcessKill(), StoreFixture.SMALL_SEGMENTS, 200)) {
            assertThat(fixture.recoveredValues()).as(context).containsEntry("next", "works");
        }
        return damaged;
    }

    @Test
    void truncationAtAnyByteIsReportedUnlessItIsATornWrite() throws IOException {
        Snapshot written = write(120);
        assertThat(written.logs()).hasSizeGreaterThan(3);
        for (Map.Entry<String, byte[]> file : written.files.entrySet()) {
            String name = file.getKey();
            // A truncated last segment looks like a torn write; a truncated earlier one has lost
            // bytes that were known to be written.
            boolean mayBeTorn = name.equals(written.lastSegment()) || !name.endsWith(".log");
            for (int length = 0; length < file.getValue().length; length++) {
                byte[] truncated = Arrays.copyOf(file.getValue(), length);
                VolatileDirectory directory =
                        VolatileDirectory.withContents(written.filesWith(name, truncated));
                String context = name + " cut to " + length;
                assertThat(reopen(directory, written, context, false))
                        .as(context)
                        .isEqualTo(!mayBeTorn);
            }
        }
    }

    @Test
    void tornLastRecordDoesNotAffectEarlierRecords() throws IOException {
        VolatileDirectory directory = new VolatileDirectory();
        String segment = SegmentFileName.ofLog(1);
        StoreLimits oneSegment =
                StoreFixture.limits()
                        .segmentBytes(1 << 20)
                        .compactionBytesPerSecond(1 << 20)
                        .compactionMinRemainingLifetime(Duration.ofDays(1))
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
            long completeRecords =
                    recordEnds.stream().filter(recordEnd -> recordEnd <= end).count();
            Map<String, byte[]> truncated = Map.of(segment, Arrays.copyOf(file, length));
            try (StoreFixture fixture =
                    new StoreFixture(VolatileDirectory.withContents(truncated), oneSegment, 0)) {
                assertThat(fixture.recoveredValues())
                        .as("cut to " + length)
                        .hasSize((int) completeRecords);
                assertThat(fixture.store.damageReports()).isEmpty();
            }
        }
    }

    @Test
    void flippedBitIsReportedAndAffectsNoOtherRecord() throws IOException {
        Snapshot written = write(60);
        SplittableRandom random = new SplittableRandom(11);
        int reported = 0;
        int flips = 0;
        for (Map.Entry<String, byte[]> file : written.files.entrySet()) {
            String name = file.getKey();
            for (int offset = 0; offset < file.getValue().length; offset++) {
                byte[] flipped = file.getValue().clone();
                flipped[offset] ^= (byte) (1 << random.nextInt(8));
                Map<String, byte[]> files = written.filesWith(name, flipped);
                // Removes the other hints: a start that trusts a hint does not read the values.
                files.keySet().removeIf(each -> each.endsWith(".hint") && !each.equals(name));
                // The checksum of the header and its last four bytes, which are unused.
                boolean isHeaderEnd = offset >= 64 && offset < SegmentHeader.BYTES;
                String context = "flip of byte " + offset + " in " + name;
                flips++;
                if (reopen(VolatileDirectory.withContents(files), written, context, !isHeaderEnd)) {
                    reported++;
                } else {
                    boolean mustBeReported = name.endsWith(".log") && !isHeaderEnd && offset != 9;
                    assertThat(mustBeReported).as(context + " must be reported").isFalse();
                }
            }
        }
        assertThat(reported).isGreaterThan(flips / 2);
    }

    @Test
    void corruptValueIsNotReturnedThoughItsHintIsValid() throws IOException {
        Snapshot written = write(60);
        String first = written.logs().get(0);
        byte[] corrupt = written.files.get(first).clone();
        for (int offset = SegmentHeader.BYTES;
                offset < corrupt.length - RecordFormat.SEAL_BYTES;
                offset++) {
            corrupt[offset] ^= 1;
        }
        VolatileDirectory directory =
                VolatileDirectory.withContents(written.filesWith(first, corrupt));
        try (StoreFixture fixture = new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, 100)) {
            Map<String, String> recovered = fixture.recoveredValues();
            fixture.start();
            recovered.forEach(
                    (key, value) ->
                            fixture.read(key).ifPresent(read -> assertThat(read).isEqualTo(value)));
        }
    }
}
