package ochretiller.audit.files;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.audit.AuditEvent;
import ochretiller.audit.AuditEventKind;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.HashChain;
import ochretiller.audit.InvocationCounts;
import ochretiller.audit.KeyedRun;
import ochretiller.audit.VersionPeriod;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Records and files have the bytes that {@code docs/audit-format.md} specifies. */
class AuditGoldenTest {
    private static final GoldenFile RECORDS = new GoldenFile("audit-records");
    private static final GoldenFile FILES = new GoldenFile("audit-files");
    private static final String FILE = "audit-0000000000000000001.log";
    private static final long MAX_BYTES = 1 << 20;

    @TempDir private Path directory;

    private static AuditRecord event(AuditEventKind kind) {
        return new AuditEvent(kind, 3, 1_700_000_000_123L, "caf\u00e9");
    }

    private static Map<String, AuditRecord> records() {
        Map<String, AuditRecord> all = new LinkedHashMap<>();
        Map<String, InvocationCounts> operations =
                Map.of(
                        "order",
                        new InvocationCounts(15, 1, 2, 3, 4),
                        "read",
                        new InvocationCounts(1_000, 9, 8, 7, 6));
        String versionHash = "0123456789abcdef".repeat(4);
        all.put(
                "span",
                new VersionPeriod(
                        2,
                        versionHash,
                        1_700_000_000_000L,
                        1_700_000_060_000L,
                        60_001,
                        operations));
        all.put("run", new KeyedRun(3, 1_700_000_000_456L, "a token"));
        all.put("event-started", event(AuditEventKind.STARTED));
        all.put("event-changed", event(AuditEventKind.VERSION_CHANGED));
        all.put("event-refused", event(AuditEventKind.VERSION_REJECTED));
        all.put("event-shut-out", event(AuditEventKind.FENCED));
        all.put("event-let-in", event(AuditEventKind.UNFENCED));
        all.put("event-published", event(AuditEventKind.VERSION_PUBLISHED));
        all.put("event-rollout", event(AuditEventKind.ROLLOUT_CHANGED));
        all.put("event-lost", event(AuditEventKind.RECORDS_LOST));
        all.put("event-ended", event(AuditEventKind.STOPPED));
        all.put("event-witnessed", event(AuditEventKind.PEER_AUDIT_WITNESSED));
        return all;
    }

    @Test
    void eachRecordIsEncodedAsItsGoldenBytes() {
        Map<String, byte[]> written = new LinkedHashMap<>();
        records().forEach((name, record) -> written.put(name, AuditRecordCodec.encode(record)));
        RECORDS.assertMatches(written);
    }

    @Test
    void eachGoldenRecordIsDecoded() {
        records()
                .forEach(
                        (name, record) ->
                                assertThat(AuditRecordCodec.decode(RECORDS.bytes(name)))
                                        .as(name)
                                        .isEqualTo(record));
    }

    @Test
    void eachKindOfRecordAndEventHasAGoldenRecord() {
        assertThat(records().values())
                .extracting(Object::getClass)
                .containsAll(List.of(AuditRecord.class.getPermittedSubclasses()));
        assertThat(
                        records().values().stream()
                                .filter(AuditEvent.class::isInstance)
                                .map(record -> ((AuditEvent) record).kind()))
                .contains(AuditEventKind.values());
    }

    @Test
    void writerWritesItsGoldenFile() throws IOException {
        AuditLogWriter writer = new AuditLogWriter(directory, MAX_BYTES, () -> 0);
        writer.start();
        records().values().forEach(writer::add);
        writer.close();
        FILES.assertMatches(Map.of(FILE, Files.readAllBytes(directory.resolve(FILE))));
    }

    @Test
    void goldenFileIsReadAsAChainWithoutFaults() throws IOException {
        Files.write(directory.resolve(FILE), FILES.bytes(FILE));
        HashChain chain = HashChain.empty();
        records().values().forEach(record -> chain.append(AuditRecordCodec.encode(record)));
        AuditLog log = AuditLogReader.read(directory, List.of(chain.head()));
        assertThat(log.faults()).isEmpty();
        assertThat(log.decodedRecords()).isEqualTo(new ArrayList<>(records().values()));
        assertThat(log.head()).isEqualTo(chain.head());
    }
}
