package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoreTest {
    private VolatileDirectory disk = new VolatileDirectory();

    private StoreFixture open() throws IOException {
        return new StoreFixture(disk, StoreFixture.SMALL, 5_000);
    }

    @Test
    void whatWasAcknowledgedIsThereBehindARestart() throws IOException {
        try (StoreFixture bench = open().start()) {
            assertThat(bench.put("a", "1")).isEqualTo(AppendResult.DURABLE);
            assertThat(bench.put("b", "2")).isEqualTo(AppendResult.DURABLE);
            assertThat(bench.put("a", "3")).isEqualTo(AppendResult.DURABLE);
            assertThat(bench.remove("b")).isEqualTo(AppendResult.DURABLE);
            assertThat(bench.read("a")).isEqualTo("3");
            assertThat(bench.read("b")).isNull();
        }
        disk = disk.afterProcessKill();
        try (StoreFixture bench = open()) {
            assertThat(bench.kept()).isEqualTo(Map.of("a", "3"));
            assertThat(bench.store.damageReports()).isEmpty();
            assertThat(bench.start().read("a")).isEqualTo("3");
        }
    }

    @Test
    void appendsThatWaitForAForceGoOutTogether() throws Exception {
        try (StoreFixture bench = open().start()) {
            CountDownLatch entered = new CountDownLatch(1);
            CountDownLatch go = new CountDownLatch(1);
            disk.fault =
                    (operation, name) -> {
                        if (!operation.equals("force")) {
                            return;
                        }
                        entered.countDown();
                        VolatileDirectory.stalling("force", go).before(operation, name);
                    };
            CompletableFuture<AppendResult> first = bench.putting("first", "0", StoreFixture.LIFE);
            entered.await();
            List<CompletableFuture<AppendResult>> acks = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                acks.add(bench.putting("k" + i, "v", StoreFixture.LIFE));
            }
            assertThat(first).isNotDone();
            go.countDown();
            acks.forEach(ack -> assertThat(StoreFixture.wait(ack)).isEqualTo(AppendResult.DURABLE));
            assertThat(bench.store.stats().largestGroupCommit()).isEqualTo(40);
        }
    }

    @Test
    void wholeSegmentsGoOnceAllInThemIsPastItsTime() throws IOException {
        try (StoreFixture bench = open().start()) {
            for (int i = 0; i < 50; i++) {
                bench.put("k" + i, "some value", 1_000);
            }
            bench.put("stays", "here", 10_000);
            int many = bench.store.stats().segments();
            assertThat(many).isGreaterThan(3);
            bench.clock.addAndGet(2_000);
            bench.settle();
            assertThat(bench.store.stats().segments()).isLessThan(many);
            assertThat(bench.store.stats().entries()).isLessThan(20);
            assertThat(bench.read("stays")).isEqualTo("here");
            assertThat(disk.listFiles().size()).isLessThan(8);
        }
    }

    @Test
    void compactionKeepsWhatIsLiveAndNothingElse() throws IOException {
        try (StoreFixture bench = open().start()) {
            for (int round = 0; round < 30; round++) {
                bench.put("live" + round, "value of " + round);
                for (int i = 0; i < 4; i++) {
                    bench.put("again" + i, "round " + round);
                }
                bench.remove("live" + (round - 1));
            }
            for (int i = 0; i < 100; i++) {
                bench.clock.addAndGet(300); // it looks for work so often
                bench.settle();
            }
            StoreStats stats = bench.store.stats();
            assertThat(stats.compactedBytes()).isPositive();
            assertThat(stats.bytes()).isLessThan(stats.appendedBytes() / 2);
            assertThat(bench.read("again1")).isEqualTo("round 29");
            assertThat(bench.read("live28")).isNull();
        }
        disk = disk.afterProcessKill();
        try (StoreFixture bench = open()) {
            assertThat(bench.kept())
                    .hasSize(5)
                    .containsEntry("live29", "value of 29")
                    .containsEntry("again3", "round 29");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"write", "force"})
    void behindAFailureNothingIsWrittenUntilAProbeFindsTheDiskWell(String operation)
            throws IOException {
        try (StoreFixture bench = open().start()) {
            bench.put("before", "1");
            disk.fault = VolatileDirectory.failing(operation, "No space left on device");
            assertThat(bench.put("lost", "2")).isEqualTo(AppendResult.UNKNOWN);
            assertThat(bench.put("refused", "3")).isEqualTo(AppendResult.UNAVAILABLE);
            assertThat(bench.store.stats().fault()).contains("No space left");
            assertThat(bench.probe()).isFalse();
            assertThat(bench.read("before")).isEqualTo("1");
            disk.fault = (what, name) -> {};
            assertThat(bench.probe()).isTrue();
            assertThat(bench.put("after", "4")).isEqualTo(AppendResult.DURABLE);
            assertThat(bench.read("lost")).isNull();
        }
        disk = disk.afterProcessKill();
        try (StoreFixture bench = open()) {
            assertThat(bench.kept())
                    .containsEntry("before", "1")
                    .containsEntry("after", "4")
                    .doesNotContainKey("refused");
            assertThat(bench.store.damageReports()).isEmpty();
        }
    }

    @Test
    void failedForceIsNeverTakenForDoneByALaterOne() throws IOException {
        try (StoreFixture bench = open().start()) {
            bench.put("before", "1");
            int[] failures = {0};
            disk.fault =
                    (what, name) -> {
                        // the file that has failed is never forced again
                        if (what.equals("force")
                                && name.equals(RecordFormat.segmentFileName(1))
                                && failures[0]++ >= 0) {
                            throw new IOException("I/O error");
                        }
                    };
            assertThat(bench.put("unknown", "2")).isEqualTo(AppendResult.UNKNOWN);
            assertThat(bench.probe()).isTrue();
            bench.put("after", "3");
            assertThat(failures[0]).isEqualTo(1);
        }
    }

    @Test
    void stalledDiskRefusesOnceMuchWaits() throws IOException {
        CountDownLatch go = new CountDownLatch(1);
        try (StoreFixture bench = open().start()) {
            disk.fault = VolatileDirectory.stalling("force", go);
            List<CompletableFuture<AppendResult>> acks = new ArrayList<>();
            for (int i = 0; i < 2_000; i++) {
                acks.add(bench.putting("k" + i, "v", StoreFixture.LIFE));
            }
            assertThat(acks.get(1_999)).isCompletedWithValue(AppendResult.CAPACITY_EXCEEDED);
            assertThat(acks.get(0)).isNotDone();
            go.countDown();
            assertThat(StoreFixture.wait(acks.get(0))).isEqualTo(AppendResult.DURABLE);
        }
    }

    @Test
    void newKeysAreRefusedAtTheBoundAndWhatIsThereGoesOn() throws IOException {
        StoreLimits few =
                new StoreLimits(
                        80,
                        1 << 20,
                        1 << 20,
                        600,
                        Duration.ofDays(1),
                        1 << 30,
                        0.4,
                        Duration.ZERO,
                        Duration.ofMillis(StoreFixture.LIFE));
        try (StoreFixture bench = new StoreFixture(disk, few, 0).start()) {
            AppendResult last = AppendResult.DURABLE;
            int taken = 0;
            for (; last == AppendResult.DURABLE; taken++) {
                last = bench.put("k" + taken, "v");
            }
            assertThat(last).isEqualTo(AppendResult.CAPACITY_EXCEEDED);
            assertThat(taken - 1).isEqualTo(70);
            CompletableFuture<AppendResult> again = new CompletableFuture<>();
            bench.store.put(
                    "k1".getBytes(),
                    new byte[0],
                    "w".getBytes(),
                    bench.store.nowMillis() + 1,
                    false,
                    again::complete);
            assertThat(StoreFixture.wait(again)).isEqualTo(AppendResult.DURABLE);
            assertThat(bench.remove("k2")).isEqualTo(AppendResult.DURABLE);
            assertThat(bench.put("new", "v")).isEqualTo(AppendResult.DURABLE);
        }
    }

    @Test
    void clockGoesOnUnderTheSameRunOfTheMachine() throws IOException {
        try (StoreFixture bench = open().start()) {
            bench.put("short", "1", 1_000);
            bench.put("long", "2", 60_000);
        }
        disk = disk.afterProcessKill();
        try (StoreFixture bench = new StoreFixture(disk, StoreFixture.SMALL, 5_000 + 30_000)) {
            assertThat(bench.kept()).isEqualTo(Map.of("long", "2"));
        }
    }

    @Test
    void underAnotherRunNoLifeGetsShorter() throws IOException {
        try (StoreFixture bench = open().start()) {
            bench.put("short", "1", 1_000);
        }
        for (UUID boot : new UUID[] {new UUID(7, 7), null}) {
            VolatileDirectory left = disk.afterProcessKill();
            try (StoreFixture bench =
                    new StoreFixture(left, StoreFixture.SMALL, 99_000_000, boot)) {
                assertThat(bench.kept()).isEqualTo(Map.of("short", "1"));
                bench.clock.addAndGet(1_001);
                bench.start().settle();
                assertThat(bench.store.stats().entries()).isZero();
            }
        }
    }

    @Test
    void whatIsNotTheStoresIsLeftAlone() throws IOException {
        Map<String, byte[]> files =
                Map.of("notes.txt", "mine".getBytes(), "seg-1.log", "no".getBytes());
        disk = VolatileDirectory.withContents(files);
        try (StoreFixture bench = open().start()) {
            bench.put("a", "1");
        }
        assertThat(disk.contents()).containsAllEntriesOf(files);
    }

    @Test
    void laterFormatIsRefusedWithOneLine() throws IOException {
        byte[] header = new RecordFormat.SegmentHeader(1, 1, false, null, 0, 0).encode().array();
        header[9] = 2;
        java.nio.ByteBuffer.wrap(header).putInt(64, RecordFormat.checksum(header, 0, 64));
        disk = VolatileDirectory.withContents(Map.of(RecordFormat.segmentFileName(1), header));
        assertThatThrownBy(this::open)
                .isInstanceOf(StoreException.class)
                .hasMessageContaining("has format 2");
    }

    @Test
    void folderIsOneProcessesAlone(@TempDir Path folder) throws IOException {
        StorageDirectory real = new LocalDirectory(folder.resolve("made"));
        try (StoreFixture bench = new StoreFixture(real, StoreFixture.SMALL, 0).start()) {
            bench.put("a", "1");
            assertThatThrownBy(() -> new StoreFixture(real, StoreFixture.SMALL, 0))
                    .hasMessageContaining("in use");
        }
        try (StoreFixture bench = new StoreFixture(real, StoreFixture.SMALL, 0)) {
            assertThat(bench.kept()).isEqualTo(Map.of("a", "1"));
        }
        assertThat(Files.list(folder.resolve("made"))).isNotEmpty();
    }

    @Test
    void startOnADiskThatCannotBeWrittenStillReads() throws IOException {
        try (StoreFixture bench = open().start()) {
            bench.put("a", "1");
        }
        disk = disk.afterProcessKill();
        disk.fault = VolatileDirectory.failing("create", "Read-only file system");
        try (StoreFixture bench = open()) {
            assertThat(bench.kept()).isEqualTo(Map.of("a", "1"));
            assertThat(bench.start().read("a")).isEqualTo("1");
            assertThat(bench.put("b", "2")).isEqualTo(AppendResult.UNAVAILABLE);
            disk.fault = (what, name) -> {};
            assertThat(bench.probe()).isTrue();
            assertThat(bench.put("b", "2")).isEqualTo(AppendResult.DURABLE);
        }
    }
}
