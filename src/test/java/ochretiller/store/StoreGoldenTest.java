package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** A segment, its hint and their parts as they are on disk, by {@code docs/store-format.md}. */
class StoreGoldenTest {
    private static final GoldenFile FILES = new GoldenFile("store-files");
    private static final GoldenFile PARTS = new GoldenFile("store-parts");
    private static final String SEGMENT = "seg-0000000000000001.log";
    private static final String HINT = "seg-0000000000000001.hint";
    private static final long CLOCK = 5_000;

    /** Records of the segment with its seal. */
    private static final int RECORDS = 5;

    private static StoreFixture open(StorageDirectory disk) throws IOException {
        return new StoreFixture(disk, StoreFixture.SMALL, CLOCK);
    }

    private static Map<String, RecordFormat.SegmentHeader> headers() {
        Map<String, RecordFormat.SegmentHeader> headers = new LinkedHashMap<>();
        headers.put(
                "header",
                new RecordFormat.SegmentHeader(0x1a, 43, false, new UUID(3, -4), -5_000, 6_000));
        headers.put(
                "header-behind-a-failure",
                new RecordFormat.SegmentHeader(0x1b, 44, true, null, 7, 8));
        return headers;
    }

    private static byte[] record(byte kind, byte[] key, byte[] meta, byte[] value) {
        ByteBuffer out =
                ByteBuffer.allocate(
                        RecordFormat.recordBytes(key.length, meta.length, value.length));
        RecordFormat.encode(out, 42, kind, 1_234_567, key, meta, value);
        return out.array();
    }

    private static Map<String, byte[]> parts() {
        Map<String, byte[]> parts = new LinkedHashMap<>();
        headers().forEach((name, header) -> parts.put(name, header.encode().array()));
        parts.put(
                "put",
                record(RecordFormat.PUT, new byte[] {1, 2}, new byte[] {3}, new byte[] {4, 5, 6}));
        parts.put(
                "remove",
                record(RecordFormat.TOMBSTONE, new byte[] {1, 2}, new byte[0], new byte[0]));
        parts.put("seal", record(RecordFormat.SEAL, new byte[0], new byte[0], new byte[8]));
        return parts;
    }

    private static void assertReadsAs(String name, byte kind, int key, int meta, int value) {
        ByteBuffer in = ByteBuffer.wrap(PARTS.bytes(name));
        assertThat(RecordFormat.inspect(in)).isEqualTo(RecordFormat.RecordStatus.VALID);
        RecordFormat.DecodedRecord entry = RecordFormat.decode(in);
        assertThat(entry.kind()).isEqualTo(kind);
        assertThat(entry.sequence()).isEqualTo(42);
        assertThat(entry.expiresAtMillis()).isEqualTo(1_234_567);
        assertThat(entry.key()).hasSize(key);
        assertThat(entry.metadata()).hasSize(meta);
        assertThat(entry.valueLength()).isEqualTo(value);
        assertThat(entry.recordBytes()).isEqualTo(in.capacity());
    }

    @Test
    void aStoreWritesItsGoldenSegmentAndHint() throws IOException {
        VolatileDirectory disk = new VolatileDirectory();
        try (StoreFixture bench = open(disk).start()) {
            bench.put("a", "1", 10_000);
            bench.put("b", "2");
            bench.put("a", "3", 20_000);
            bench.remove("b");
        }
        FILES.assertHolds(disk.contents());
    }

    @Test
    void aStoreReadsItsGoldenSegmentAndHint() throws IOException {
        VolatileDirectory disk = VolatileDirectory.withContents(FILES.all());
        StoreInspector.StoreReport report = StoreInspector.verify(disk, file -> {});
        assertThat(report.damage()).isEmpty();
        assertThat(report.unknownFiles()).isEmpty();
        assertThat(report.segments())
                .singleElement()
                .satisfies(
                        file -> {
                            assertThat(file.name()).isEqualTo(SEGMENT);
                            assertThat(file.records()).isEqualTo(RECORDS);
                            assertThat(file.sealed()).isTrue();
                        });
        try (StoreFixture bench = open(disk)) {
            assertThat(bench.store.recoveredEntries())
                    .singleElement()
                    .satisfies(kept -> assertThat(kept.expiresAtMillis()).isEqualTo(20_000));
            assertThat(bench.kept()).isEqualTo(Map.of("a", "3"));
            assertThat(bench.start().read("a")).isEqualTo("3");
        }
    }

    @Test
    void theGoldenHintTellsWhatTheGoldenSegmentTells() throws IOException {
        VolatileDirectory disk = VolatileDirectory.withContents(FILES.all());
        Recovery hinted = Recovery.read(disk, true, file -> {});
        Recovery scanned = Recovery.read(disk, false, file -> {});
        assertThat(hinted.found.get(1L).hinted).isTrue();
        assertThat(hinted.lastSequence).isEqualTo(RECORDS).isEqualTo(scanned.lastSequence);
        assertThat(hinted.found.get(1L).segment.records).isEqualTo(RECORDS);
        assertThat(hinted.found.get(1L).segment.deadBytes)
                .isEqualTo(scanned.found.get(1L).segment.deadBytes + HintFile.SEAL_BYTES);
        assertThat(slots(hinted)).hasSize(2).isEqualTo(slots(scanned));
    }

    private static List<String> slots(Recovery recovery) {
        Map<String, String> slots = new TreeMap<>();
        recovery.index.forEach(
                slot ->
                        slots.put(
                                new String(slot.key.bytes),
                                slot.sequence
                                        + " "
                                        + slot.kind
                                        + " "
                                        + slot.expiresAtMillis
                                        + " "
                                        + new String(slot.metadata)
                                        + " "
                                        + slot.offset
                                        + " "
                                        + slot.recordBytes));
        return new ArrayList<>(slots.values());
    }

    @Test
    void theStoreNamesItsFilesAsBefore() {
        assertThat(RecordFormat.segmentFileName(1)).isEqualTo(SEGMENT);
        assertThat(RecordFormat.hintFileName(1)).isEqualTo(HINT);
        assertThat(RecordFormat.FileName.of(SEGMENT))
                .isEqualTo(new RecordFormat.FileName(1, "log"));
        assertThat(RecordFormat.FileName.of(HINT + ".tmp"))
                .isEqualTo(new RecordFormat.FileName(1, "hint.tmp"));
    }

    @Test
    void headersAndRecordsAreWrittenAsTheirGoldenBytes() {
        PARTS.assertHolds(parts());
    }

    @Test
    void goldenHeadersAreReadBack() throws IOException {
        for (Map.Entry<String, RecordFormat.SegmentHeader> each : headers().entrySet()) {
            ByteBuffer bytes = ByteBuffer.wrap(PARTS.bytes(each.getKey()));
            assertThat(RecordFormat.SegmentHeader.decode(bytes, "a file"))
                    .isEqualTo(each.getValue());
        }
    }

    @Test
    void goldenRecordsAreReadBack() {
        assertReadsAs("put", RecordFormat.PUT, 2, 1, 3);
        assertReadsAs("remove", RecordFormat.TOMBSTONE, 2, 0, 0);
        assertReadsAs("seal", RecordFormat.SEAL, 0, 0, 8);
    }
}
