package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoreTest {
    private VolatileDirectory directory = new VolatileDirectory();

    private StoreFixture open() throws IOException {
        return new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, 5_000);
    }

    @Test
    void acknowledgedAppendsSurviveARestart() throws IOException {
        try (StoreFixture fixture = open().start()) {
            assertThat(fixture.put("a", "1")).isEqualTo(AppendResult.DURABLE);
            assertThat(fixture.put("b", "2")).isEqualTo(AppendResult.DURABLE);
            assertThat(fixture.put("a", "3")).isEqualTo(AppendResult.DURABLE);
            assertThat(fixture.remove("b")).isEqualTo(AppendResult.DURABLE);
            assertThat(fixture.read("a")).contains("3");
            assertThat(fixture.read("b")).isEmpty();
        }
        directory = directory.afterProcessKill();
        try (StoreFixture fixture = open()) {
            assertThat(fixture.recoveredValues()).isEqualTo(Map.of("a", "3"));
            assertThat(fixture.store.damageReports()).isEmpty();
            assertThat(fixture.start().read("a")).contains("3");
        }
    }

    @Test
    void appendsThatArriveDuringAForceShareTheNextOne() throws Exception {
        try (StoreFixture fixture = open().start()) {
            CountDownLatch forceBegun = new CountDownLatch(1);
            CountDownLatch forceReleased = new CountDownLatch(1);
            VolatileDirectory.Fault stallingFault =
                    VolatileDirectory.stallOn("force", forceReleased);
            directory.fault =
                    (operation, name) -> {
                        if (operation.equals("force")) {
                            forceBegun.countDown();
                            stallingFault.before(operation, name);
                        }
                    };
            CompletableFuture<AppendResult> first =
                    fixture.startPut("first", "0", StoreFixture.LIFETIME_MILLIS);
            forceBegun.await();
            List<CompletableFuture<AppendResult>> results = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                results.add(fixture.startPut("k" + i, "v", StoreFixture.LIFETIME_MILLIS));
            }
            assertThat(first).isNotDone();
            forceReleased.countDown();
            results.forEach(
                    result ->
                            assertThat(StoreFixture.await(result)).isEqualTo(AppendResult.DURABLE));
            assertThat(fixture.store.stats().largestGroupCommit()).isEqualTo(40);
        }
    }

    @Test
    void segmentIsDeletedAfterAllItsRecordsHaveExpired() throws IOException {
        try (StoreFixture fixture = open().start()) {
            for (int i = 0; i < 50; i++) {
                fixture.put("k" + i, "some value", 1_000);
            }
            fixture.put("stays", "here", 10_000);
            int segmentsBefore = fixture.store.stats().segments();
            assertThat(segmentsBefore).isGreaterThan(3);
            fixture.uptimeMillis.addAndGet(2_000);
            fixture.awaitMaintenance();
            assertThat(fixture.store.stats().segments()).isLessThan(segmentsBefore);
            assertThat(fixture.store.stats().entries()).isLessThan(20);
            assertThat(fixture.read("stays")).contains("here");
            assertThat(directory.listFiles().size()).isLessThan(8);
        }
    }

    @Test
    void compactionKeepsLiveRecordsOnly() throws IOException {
        try (StoreFixture fixture = open().start()) {
            for (int round = 0; round < 30; round++) {
                fixture.put("live" + round, "value of " + round);
                for (int i = 0; i < 4; i++) {
                    fixture.put("again" + i, "round " + round);
                }
                fixture.remove("live" + (round - 1));
            }
            for (int i = 0; i < 100; i++) {
                fixture.uptimeMillis.addAndGet(300); // longer than the sweep interval
                fixture.awaitMaintenance();
            }
            StoreStats stats = fixture.store.stats();
            assertThat(stats.compactedBytes()).isPositive();
            assertThat(stats.bytes()).isLessThan(stats.appendedBytes() / 2);
            assertThat(fixture.read("again1")).contains("round 29");
            assertThat(fixture.read("live28")).isEmpty();
        }
        directory = directory.afterProcessKill();
        try (StoreFixture fixture = open()) {
            assertThat(fixture.recoveredValues())
                    .hasSize(5)
                    .containsEntry("live29", "value of 29")
                    .containsEntry("again3", "round 29");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"write", "force"})
    void afterADiskFailureNothingIsWrittenUntilAProbeSucceeds(String operation) throws IOException {
        try (StoreFixture fixture = open().start()) {
            fixture.put("before", "1");
            directory.fault = VolatileDirectory.failOn(operation, "No space left on device");
            assertThat(fixture.put("lost", "2")).isEqualTo(AppendResult.UNKNOWN);
            assertThat(fixture.put("refused", "3")).isEqualTo(AppendResult.UNAVAILABLE);
            assertThat(fixture.store.stats().fault())
                    .hasValueSatisfying(fault -> assertThat(fault).contains("No space left"));
            assertThat(fixture.probe()).isFalse();
            assertThat(fixture.read("before")).contains("1");
            directory.fault = VolatileDirectory.NO_FAULT;
            assertThat(fixture.probe()).isTrue();
            assertThat(fixture.put("after", "4")).isEqualTo(AppendResult.DURABLE);
            assertThat(fixture.read("lost")).isEmpty();
        }
        directory = directory.afterProcessKill();
        try (StoreFixture fixture = open()) {
            assertThat(fixture.recoveredValues())
                    .containsEntry("before", "1")
                    .containsEntry("after", "4")
                    .doesNotContainKey("refused");
            assertThat(fixture.store.damageReports()).isEmpty();
        }
    }

    @Test
    void fileWhoseForceFailedIsNeverForcedAgain() throws IOException {
        try (StoreFixture fixture = open().start()) {
            fixture.put("before", "1");
            AtomicInteger failures = new AtomicInteger();
            directory.fault =
                    (operation, name) -> {
                        if (operation.equals("force") && name.equals(SegmentFileName.ofLog(1))) {
                            failures.incrementAndGet();
                            throw new IOException("I/O error");
                        }
                    };
            assertThat(fixture.put("unknown", "2")).isEqualTo(AppendResult.UNKNOWN);
            assertThat(fixture.probe()).isTrue();
            fixture.put("after", "3");
            assertThat(failures).hasValue(1);
        }
    }

    @Test
    void appendsAreRejectedAtTheLimitWhileTheDiskStalls() throws IOException {
        CountDownLatch forceReleased = new CountDownLatch(1);
        try (StoreFixture fixture = open().start()) {
            directory.fault = VolatileDirectory.stallOn("force", forceReleased);
            List<CompletableFuture<AppendResult>> results = new ArrayList<>();
            for (int i = 0; i < 2_000; i++) {
                results.add(fixture.startPut("k" + i, "v", StoreFixture.LIFETIME_MILLIS));
            }
            assertThat(results.get(1_999)).isCompletedWithValue(AppendResult.CAPACITY_EXCEEDED);
            assertThat(results.get(0)).isNotDone();
            forceReleased.countDown();
            assertThat(StoreFixture.await(results.get(0))).isEqualTo(AppendResult.DURABLE);
        }
    }

    @Test
    void newKeysAreRejectedAtTheLimitWhileExistingKeysUseTheReserve() throws IOException {
        StoreLimits fewEntries = StoreFixture.limits().maxEntries(80).build();
        try (StoreFixture fixture = new StoreFixture(directory, fewEntries, 0).start()) {
            AppendResult last = AppendResult.DURABLE;
            int attempts = 0;
            while (last == AppendResult.DURABLE) {
                last = fixture.put("k" + attempts, "v");
                attempts++;
            }
            assertThat(last).isEqualTo(AppendResult.CAPACITY_EXCEEDED);
            assertThat(attempts - 1).isEqualTo(70);
            CompletableFuture<AppendResult> again = new CompletableFuture<>();
            long expiresAtMillis = fixture.store.nowMillis() + 1;
            fixture.store.put(
                    "k1".getBytes(), new byte[0], "w".getBytes(), expiresAtMillis, again::complete);
            assertThat(StoreFixture.await(again)).isEqualTo(AppendResult.DURABLE);
            assertThat(fixture.remove("k2")).isEqualTo(AppendResult.DURABLE);
            assertThat(fixture.put("new", "v")).isEqualTo(AppendResult.DURABLE);
        }
    }

    @Test
    void clockIncludesTheTimeBetweenTwoProcessesOfOneBoot() throws IOException {
        try (StoreFixture fixture = open().start()) {
            fixture.put("short", "1", 1_000);
            fixture.put("long", "2", 60_000);
        }
        directory = directory.afterProcessKill();
        try (StoreFixture fixture =
                new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, 5_000 + 30_000)) {
            assertThat(fixture.recoveredValues()).isEqualTo(Map.of("long", "2"));
        }
    }

    @Test
    void recordsDoNotExpireEarlyAfterAReboot() throws IOException {
        try (StoreFixture fixture = open().start()) {
            fixture.put("short", "1", 1_000);
        }
        for (Optional<UUID> bootId : List.of(Optional.of(new UUID(7, 7)), Optional.<UUID>empty())) {
            VolatileDirectory afterKill = directory.afterProcessKill();
            try (StoreFixture fixture =
                    new StoreFixture(afterKill, StoreFixture.SMALL_SEGMENTS, 99_000_000, bootId)) {
                assertThat(fixture.recoveredValues()).isEqualTo(Map.of("short", "1"));
                fixture.uptimeMillis.addAndGet(1_001);
                fixture.start().awaitMaintenance();
                assertThat(fixture.store.stats().entries()).isZero();
            }
        }
    }

    @Test
    void unknownFilesAreNotChanged() throws IOException {
        Map<String, byte[]> files =
                Map.of("notes.txt", "mine".getBytes(), "seg-1.log", "no".getBytes());
        directory = VolatileDirectory.withContents(files);
        try (StoreFixture fixture = open().start()) {
            fixture.put("a", "1");
        }
        assertThat(directory.contents()).containsAllEntriesOf(files);
    }

    @Test
    void formatOfALaterReleaseIsRejected() throws IOException {
        byte[] header = new SegmentHeader(1, 1, false, Optional.empty(), 0, 0).encode().array();
        header[9] = 2;
        ByteBuffer.wrap(header).putInt(64, RecordFormat.checksum(header, 0, 64));
        directory = VolatileDirectory.withContents(Map.of(SegmentFileName.ofLog(1), header));
        assertThatThrownBy(this::open)
                .isInstanceOf(StoreException.class)
                .hasMessageContaining("has format 2");
    }

    @Test
    void directoryCanBeOpenedByOneStoreAtATime(@TempDir Path folder) throws IOException {
        StorageDirectory local = new LocalDirectory(folder.resolve("made"));
        try (StoreFixture fixture =
                new StoreFixture(local, StoreFixture.SMALL_SEGMENTS, 0).start()) {
            fixture.put("a", "1");
            assertThatThrownBy(() -> new StoreFixture(local, StoreFixture.SMALL_SEGMENTS, 0))
                    .hasMessageContaining("in use");
        }
        try (StoreFixture fixture = new StoreFixture(local, StoreFixture.SMALL_SEGMENTS, 0)) {
            assertThat(fixture.recoveredValues()).isEqualTo(Map.of("a", "1"));
        }
        try (Stream<Path> files = Files.list(folder.resolve("made"))) {
            assertThat(files).isNotEmpty();
        }
    }

    @Test
    void storeOnAReadOnlyDiskIsReadable() throws IOException {
        try (StoreFixture fixture = open().start()) {
            fixture.put("a", "1");
        }
        directory = directory.afterProcessKill();
        directory.fault = VolatileDirectory.failOn("create", "Read-only file system");
        try (StoreFixture fixture = open()) {
            assertThat(fixture.recoveredValues()).isEqualTo(Map.of("a", "1"));
            assertThat(fixture.start().read("a")).contains("1");
            assertThat(fixture.put("b", "2")).isEqualTo(AppendResult.UNAVAILABLE);
            directory.fault = VolatileDirectory.NO_FAULT;
            assertThat(fixture.probe()).isTrue();
            assertThat(fixture.put("b", "2")).isEqualTo(AppendResult.DURABLE);
        }
    }
}
