package ochretiller.audit.files;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ochretiller.audit.Chain;
import ochretiller.audit.Entry;
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

    private static Entry event(Entry.Kind kind) {
        return new Entry.Event(kind, 3, 1_700_000_000_123L, "caf\u00e9");
    }

    private static Map<String, Entry> entries() {
        Map<String, Entry> all = new LinkedHashMap<>();
        all.put(
                "span",
                new Entry.Span(
                        2,
                        "0123456789abcdef".repeat(4),
                        1_700_000_000_000L,
                        1_700_000_060_000L,
                        60_001,
                        Map.of(
                                "order",
                                new Entry.Tally(15, 1, 2, 3, 4),
                                "read",
                                new Entry.Tally(1_000, 9, 8, 7, 6))));
        all.put("run", new Entry.Run(3, 1_700_000_000_456L, "a token"));
        all.put("event-started", event(Entry.Kind.STARTED));
        all.put("event-changed", event(Entry.Kind.CHANGED));
        all.put("event-refused", event(Entry.Kind.REFUSED));
        all.put("event-shut-out", event(Entry.Kind.SHUT_OUT));
        all.put("event-let-in", event(Entry.Kind.LET_IN));
        all.put("event-published", event(Entry.Kind.PUBLISHED));
        all.put("event-rollout", event(Entry.Kind.ROLLOUT));
        all.put("event-lost", event(Entry.Kind.LOST));
        all.put("event-ended", event(Entry.Kind.ENDED));
        all.put("event-witnessed", event(Entry.Kind.WITNESSED));
        return all;
    }

    @Test
    void eachRecordIsWrittenAsItsGoldenBytes() {
        Map<String, byte[]> written = new LinkedHashMap<>();
        entries().forEach((name, entry) -> written.put(name, AuditCodec.bytes(entry)));
        RECORDS.assertHolds(written);
    }

    @Test
    void eachGoldenRecordIsReadBack() {
        entries()
                .forEach(
                        (name, entry) ->
                                assertThat(AuditCodec.entry(RECORDS.bytes(name)))
                                        .as(name)
                                        .isEqualTo(entry));
    }

    @Test
    void eachKindOfRecordAndEventHasAGoldenRecord() {
        assertThat(entries().values())
                .extracting(Object::getClass)
                .containsAll(List.of(Entry.class.getPermittedSubclasses()));
        assertThat(
                        entries().values().stream()
                                .filter(Entry.Event.class::isInstance)
                                .map(each -> ((Entry.Event) each).kind()))
                .contains(Entry.Kind.values());
    }

    @Test
    void theWriterWritesItsGoldenFile() throws IOException {
        AuditWriter writer = new AuditWriter(folder, MOST, () -> 0);
        writer.start();
        entries().values().forEach(writer::add);
        writer.close();
        FILES.assertHolds(Map.of(FILE, Files.readAllBytes(folder.resolve(FILE))));
    }

    @Test
    void theGoldenFileIsReadBackAsAChainWithoutFault() throws IOException {
        Files.write(folder.resolve(FILE), FILES.bytes(FILE));
        Chain chain = Chain.fresh();
        entries().values().forEach(entry -> chain.append(AuditCodec.bytes(entry)));
        AuditFolder.Found found = AuditFolder.read(folder, List.of(chain.head()));
        assertThat(found.faults()).isEmpty();
        assertThat(found.entries()).isEqualTo(new ArrayList<>(entries().values()));
        assertThat(found.head()).isEqualTo(chain.head());
    }
}
