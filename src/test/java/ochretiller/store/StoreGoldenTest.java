package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/**
 * Compares a segment, its hint and their parts with golden files, see {@code docs/store-format.md}.
 */
class StoreGoldenTest {
    private static final GoldenFile FILES = new GoldenFile("store-files");
    private static final GoldenFile PARTS = new GoldenFile("store-parts");
    private static final String SEGMENT = "seg-0000000000000001.log";
    private static final String HINT = "seg-0000000000000001.hint";
    private static final long UPTIME_MILLIS = 5_000;
    private static final long SEQUENCE = 42;
    private static final long EXPIRES_AT_MILLIS = 1_234_567;

    /** Number of records in the golden segment, including its seal. */
    private static final int RECORDS = 5;

    private static StoreFixture open(StorageDirectory directory) throws IOException {
        return new StoreFixture(directory, StoreFixture.SMALL_SEGMENTS, UPTIME_MILLIS);
    }

    private static Map<String, SegmentHeader> headers() {
        Map<String, SegmentHeader> headers = new LinkedHashMap<>();
        headers.put(
                "header",
                new SegmentHeader(0x1a, 43, false, Optional.of(new UUID(3, -4)), -5_000, 6_000));
        headers.put(
                "header-behind-a-failure",
                new SegmentHeader(0x1b, 44, true, Optional.empty(), 7, 8));
        return headers;
    }

    private static byte[] record(byte kind, byte[] key, byte[] metadata, byte[] value) {
        AppendRequest request =
                new AppendRequest(
                        kind,
                        new StoreKey(key),
                        metadata,
                        value,
                        EXPIRES_AT_MILLIS,
                        false,
                        result -> {});
        ByteBuffer out = ByteBuffer.allocate(request.recordBytes());
        RecordFormat.encode(out, SEQUENCE, request);
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

    private static DecodedRecord decodeGolden(String name, byte kind) {
        ByteBuffer in = ByteBuffer.wrap(PARTS.bytes(name));
        assertThat(RecordFormat.inspect(in)).isEqualTo(RecordStatus.VALID);
        DecodedRecord record = RecordFormat.decode(in);
        assertThat(record.attributes())
                .isEqualTo(new RecordAttributes(SEQUENCE, kind, EXPIRES_AT_MILLIS, in.capacity()));
        return record;
    }

    private static void assertLengths(DecodedRecord record, int key, int metadata, int value) {
        assertThat(record.key()).hasSize(key);
        assertThat(record.metadata()).hasSize(metadata);
        assertThat(record.valueLength()).isEqualTo(value);
    }

    @Test
    void storeWritesTheGoldenSegmentAndHint() throws IOException {
        VolatileDirectory directory = new VolatileDirectory();
        try (StoreFixture fixture = open(directory).start()) {
            fixture.put("a", "1", 10_000);
            fixture.put("b", "2");
            fixture.put("a", "3", 20_000);
            fixture.remove("b");
        }
        FILES.assertMatches(directory.contents());
    }

    @Test
    void storeReadsTheGoldenSegmentAndHint() throws IOException {
        VolatileDirectory directory = VolatileDirectory.withContents(FILES.all());
        StoreReport report = StoreInspector.verify(directory, segmentName -> {});
        assertThat(report.damage()).isEmpty();
        assertThat(report.unknownFiles()).isEmpty();
        assertThat(report.segments())
                .singleElement()
                .satisfies(
                        segment -> {
                            assertThat(segment.name()).isEqualTo(SEGMENT);
                            assertThat(segment.records()).isEqualTo(RECORDS);
                            assertThat(segment.sealed()).isTrue();
                        });
        try (StoreFixture fixture = open(directory)) {
            assertThat(fixture.store.recoveredEntries())
                    .singleElement()
                    .satisfies(entry -> assertThat(entry.expiresAtMillis()).isEqualTo(20_000));
            assertThat(fixture.recoveredValues()).isEqualTo(Map.of("a", "3"));
            assertThat(fixture.start().read("a")).contains("3");
        }
    }

    @Test
    void goldenHintAgreesWithTheGoldenSegment() throws IOException {
        VolatileDirectory directory = VolatileDirectory.withContents(FILES.all());
        Recovery fromHint =
                Recovery.read(directory, Recovery.HintPolicy.USE_HINTS, segmentName -> {});
        Recovery scanned =
                Recovery.read(directory, Recovery.HintPolicy.READ_EVERYTHING, segmentName -> {});
        RecoveredSegment hinted = fromHint.lastSegment().orElseThrow();
        assertThat(hinted.isReadFromHint()).isTrue();
        assertThat(fromHint.lastSequence()).isEqualTo(RECORDS).isEqualTo(scanned.lastSequence());
        assertThat(hinted.segment().recordCount()).isEqualTo(RECORDS);
        // A scan does not count the seal among the dead bytes.
        long scannedDeadBytes = scanned.lastSegment().orElseThrow().segment().deadBytes();
        assertThat(hinted.segment().deadBytes())
                .isEqualTo(scannedDeadBytes + RecordFormat.SEAL_BYTES);
        assertThat(describeEntries(fromHint)).hasSize(2).isEqualTo(describeEntries(scanned));
    }

    private static List<String> describeEntries(Recovery recovery) {
        Map<String, String> byKey = new TreeMap<>();
        recovery.index()
                .forEach(
                        entry ->
                                byKey.put(
                                        new String(entry.key().bytes()),
                                        entry.sequence()
                                                + " "
                                                + entry.kind()
                                                + " "
                                                + entry.expiresAtMillis()
                                                + " "
                                                + new String(entry.metadata())
                                                + " "
                                                + entry.offset()
                                                + " "
                                                + entry.recordBytes()));
        return new ArrayList<>(byKey.values());
    }

    @Test
    void fileNamesFollowTheFormat() {
        assertThat(SegmentFileName.ofLog(1)).isEqualTo(SEGMENT);
        assertThat(SegmentFileName.ofHint(1)).isEqualTo(HINT);
        assertThat(SegmentFileName.parse(SEGMENT))
                .contains(new SegmentFileName(1, SegmentFileName.Kind.LOG));
        assertThat(SegmentFileName.parse(HINT))
                .contains(new SegmentFileName(1, SegmentFileName.Kind.HINT));
        assertThat(SegmentFileName.parse(HINT + ".tmp"))
                .contains(new SegmentFileName(1, SegmentFileName.Kind.TEMPORARY));
        assertThat(SegmentFileName.parse(SEGMENT + ".tmp"))
                .contains(new SegmentFileName(1, SegmentFileName.Kind.TEMPORARY));
        assertThat(SegmentFileName.parse("seg-1.log")).isEmpty();
    }

    @Test
    void headersAndRecordsEncodeToTheirGoldenBytes() {
        PARTS.assertMatches(parts());
    }

    @Test
    void goldenHeadersAreDecoded() throws IOException {
        for (Map.Entry<String, SegmentHeader> each : headers().entrySet()) {
            ByteBuffer bytes = ByteBuffer.wrap(PARTS.bytes(each.getKey()));
            assertThat(SegmentHeader.decode(bytes, "a file")).contains(each.getValue());
        }
    }

    @Test
    void goldenRecordsAreDecoded() {
        assertLengths(decodeGolden("put", RecordFormat.PUT), 2, 1, 3);
        assertLengths(decodeGolden("remove", RecordFormat.TOMBSTONE), 2, 0, 0);
        assertLengths(decodeGolden("seal", RecordFormat.SEAL), 0, 0, 8);
    }
}
