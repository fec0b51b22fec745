package ochretiller.audit.files;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.HashChain;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An audit's records and its file as they are on disk, by {@code docs/audit-format.md}. */
class AuditGoldenTest {
    private static final GoldenFile RECORDS = new GoldenFile("audit-records");
    private static final GoldenFile FILES = new GoldenFile("audit-files");
    private static final String FILE = "audit-0000000000000000001.log";
    private static final long MOST = 1 << 20;

    @TempDir private Path folder;

    private static AuditRecord event(AuditRecord.AuditEventKind kind) {
        return new AuditRecord.AuditEvent(kind, 3, 1_700_000_000_123L, "caf\u00e9");
    }

    private static Map<String, AuditRecord> entries() {
        Map<String, AuditRecord> all = new LinkedHashMap<>();
        all.put(
                "span",
                new AuditRecord.VersionPeriod(
                        2,
                        "0123456789abcdef".repeat(4),
                        1_700_000_000_000L,
                        1_700_000_060_000L,
                        60_001,
                        Map.of(
                                "order",
                                new AuditRecord.InvocationCounts(15, 1, 2, 3, 4),
                                "read",
                                new AuditRecord.InvocationCounts(1_000, 9, 8, 7, 6))));
        all.put("run", new AuditRecord.KeyedRun(3, 1_700_000_000_456L, "a token"));
        all.put("event-started", event(AuditRecord.AuditEventKind.STARTED));
        all.put("event-changed", event(AuditRecord.AuditEventKind.VERSION_CHANGED));
        all.put("event-refused", event(AuditRecord.AuditEventKind.VERSION_REJECTED));
        all.put("event-shut-out", event(AuditRecord.AuditEventKind.FENCED));
        all.put("event-let-in", event(AuditRecord.AuditEventKind.UNFENCED));
        all.put("event-published", event(AuditRecord.AuditEventKind.VERSION_PUBLISHED));
        all.put("event-rollout", event(AuditRecord.AuditEventKind.ROLLOUT_CHANGED));
        all.put("event-lost", event(AuditRecord.AuditEventKind.RECORDS_LOST));
        all.put("event-ended", event(AuditRecord.AuditEventKind.STOPPED));
        all.put("event-witnessed", event(AuditRecord.AuditEventKind.PEER_AUDIT_WITNESSED));
        return all;
    }

    @Test
    void eachRecordIsWrittenAsItsGoldenBytes() {
        Map<String, byte[]> written = new LinkedHashMap<>();
        entries().forEach((name, entry) -> written.put(name, AuditRecordCodec.encode(entry)));
        RECORDS.assertHolds(written);
    }

    @Test
    void eachGoldenRecordIsReadBack() {
        entries()
                .forEach(
                        (name, entry) ->
                                assertThat(AuditRecordCodec.decode(RECORDS.bytes(name)))
                                        .as(name)
                                        .isEqualTo(entry));
    }

    @Test
    void eachKindOfRecordAndEventHasAGoldenRecord() {
        assertThat(entries().values())
                .extracting(Object::getClass)
                .containsAll(List.of(AuditRecord.class.getPermittedSubclasses()));
        assertThat(
                        entries().values().stream()
                                .filter(AuditRecord.AuditEvent.class::isInstance)
                                .map(each -> ((AuditRecord.AuditEvent) each).kind()))
                .contains(AuditRecord.AuditEventKind.values());
    }

    @Test
    void theWriterWritesItsGoldenFile() throws IOException {
        AuditLogWriter writer = new AuditLogWriter(folder, MOST, () -> 0);
        writer.start();
        entries().values().forEach(writer::add);
        writer.close();
        FILES.assertHolds(Map.of(FILE, Files.readAllBytes(folder.resolve(FILE))));
    }

    @Test
    void theGoldenFileIsReadBackAsAChainWithoutFault() throws IOException {
        Files.write(folder.resolve(FILE), FILES.bytes(FILE));
        HashChain chain = HashChain.empty();
        entries().values().forEach(entry -> chain.append(AuditRecordCodec.encode(entry)));
        AuditLogReader.AuditLog found = AuditLogReader.read(folder, List.of(chain.head()));
        assertThat(found.faults()).isEmpty();
        assertThat(found.decodedRecords()).isEqualTo(new ArrayList<>(entries().values()));
        assertThat(found.head()).isEqualTo(chain.head());
    }
}
