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

    private static Bench open(Disk disk) throws IOException {
        return new Bench(disk, Bench.SMALL, CLOCK);
    }

    private static Map<String, Format.Header> headers() {
        Map<String, Format.Header> headers = new LinkedHashMap<>();
        headers.put("header", new Format.Header(0x1a, 43, false, new UUID(3, -4), -5_000, 6_000));
        headers.put("header-behind-a-failure", new Format.Header(0x1b, 44, true, null, 7, 8));
        return headers;
    }

    private static byte[] record(byte kind, byte[] key, byte[] meta, byte[] value) {
        ByteBuffer out = ByteBuffer.allocate(Format.size(key.length, meta.length, value.length));
        Format.encode(out, 42, kind, 1_234_567, key, meta, value);
        return out.array();
    }

    private static Map<String, byte[]> parts() {
        Map<String, byte[]> parts = new LinkedHashMap<>();
        headers().forEach((name, header) -> parts.put(name, header.encode().array()));
        parts.put(
                "put", record(Format.PUT, new byte[] {1, 2}, new byte[] {3}, new byte[] {4, 5, 6}));
        parts.put("remove", record(Format.REMOVE, new byte[] {1, 2}, new byte[0], new byte[0]));
        parts.put("seal", record(Format.SEAL, new byte[0], new byte[0], new byte[8]));
        return parts;
    }

    private static void assertReadsAs(String name, byte kind, int key, int meta, int value) {
        ByteBuffer in = ByteBuffer.wrap(PARTS.bytes(name));
        assertThat(Format.look(in)).isEqualTo(Format.Place.WHOLE);
        Format.Entry entry = Format.entry(in);
        assertThat(entry.kind()).isEqualTo(kind);
        assertThat(entry.sequence()).isEqualTo(42);
        assertThat(entry.expires()).isEqualTo(1_234_567);
        assertThat(entry.key()).hasSize(key);
        assertThat(entry.meta()).hasSize(meta);
        assertThat(entry.valueLength()).isEqualTo(value);
        assertThat(entry.size()).isEqualTo(in.capacity());
    }

    @Test
    void aStoreWritesItsGoldenSegmentAndHint() throws IOException {
        ForgetfulDisk disk = new ForgetfulDisk();
        try (Bench bench = open(disk).start()) {
            bench.put("a", "1", 10_000);
            bench.put("b", "2");
            bench.put("a", "3", 20_000);
            bench.remove("b");
        }
        FILES.assertHolds(disk.contents());
    }

    @Test
    void aStoreReadsItsGoldenSegmentAndHint() throws IOException {
        ForgetfulDisk disk = ForgetfulDisk.of(FILES.all());
        Inspect.Report report = Inspect.verify(disk, file -> {});
        assertThat(report.damage()).isEmpty();
        assertThat(report.foreign()).isEmpty();
        assertThat(report.files())
                .singleElement()
                .satisfies(
                        file -> {
                            assertThat(file.name()).isEqualTo(SEGMENT);
                            assertThat(file.records()).isEqualTo(RECORDS);
                            assertThat(file.sealed()).isTrue();
                        });
        try (Bench bench = open(disk)) {
            assertThat(bench.store.kept())
                    .singleElement()
                    .satisfies(kept -> assertThat(kept.expires()).isEqualTo(20_000));
            assertThat(bench.kept()).isEqualTo(Map.of("a", "3"));
            assertThat(bench.start().read("a")).isEqualTo("3");
        }
    }

    @Test
    void theGoldenHintTellsWhatTheGoldenSegmentTells() throws IOException {
        ForgetfulDisk disk = ForgetfulDisk.of(FILES.all());
        Recovery hinted = Recovery.read(disk, true, file -> {});
        Recovery scanned = Recovery.read(disk, false, file -> {});
        assertThat(hinted.found.get(1L).hinted).isTrue();
        assertThat(hinted.lastSequence).isEqualTo(RECORDS).isEqualTo(scanned.lastSequence);
        assertThat(hinted.found.get(1L).segment.records).isEqualTo(RECORDS);
        assertThat(hinted.found.get(1L).segment.dead)
                .isEqualTo(scanned.found.get(1L).segment.dead + Hint.SEAL_SIZE);
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
                                        + slot.expires
                                        + " "
                                        + new String(slot.meta)
                                        + " "
                                        + slot.at
                                        + " "
                                        + slot.size));
        return new ArrayList<>(slots.values());
    }

    @Test
    void theStoreNamesItsFilesAsBefore() {
        assertThat(Format.segment(1)).isEqualTo(SEGMENT);
        assertThat(Format.hint(1)).isEqualTo(HINT);
        assertThat(Format.Name.of(SEGMENT)).isEqualTo(new Format.Name(1, "log"));
        assertThat(Format.Name.of(HINT + ".tmp")).isEqualTo(new Format.Name(1, "hint.tmp"));
    }

    @Test
    void headersAndRecordsAreWrittenAsTheirGoldenBytes() {
        PARTS.assertHolds(parts());
    }

    @Test
    void goldenHeadersAreReadBack() throws IOException {
        for (Map.Entry<String, Format.Header> each : headers().entrySet()) {
            ByteBuffer bytes = ByteBuffer.wrap(PARTS.bytes(each.getKey()));
            assertThat(Format.Header.decode(bytes, "a file")).isEqualTo(each.getValue());
        }
    }

    @Test
    void goldenRecordsAreReadBack() {
        assertReadsAs("put", Format.PUT, 2, 1, 3);
        assertReadsAs("remove", Format.REMOVE, 2, 0, 0);
        assertReadsAs("seal", Format.SEAL, 0, 0, 8);
    }
}
