package ochretiller.audit.files;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import ochretiller.audit.Chain;
import ochretiller.audit.Entry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An audit's files: read back as written, each damage told, and gone on with behind a crash. */
class AuditFolderTest {
    private static final long MOST = 1 << 20;

    @TempDir private Path folder;

    private static List<Entry> some() {
        return List.of(
                new Entry.Event(Entry.Kind.STARTED, 1, 1_000, "m1"),
                new Entry.Run(1, 1_500, "token"),
                new Entry.Span(
                        1,
                        "a".repeat(64),
                        1_000,
                        2_000,
                        1_000,
                        Map.of(
                                "order",
                                new Entry.Tally(5, 1, 2, 1, 1),
                                "read",
                                new Entry.Tally(9, 9, 0, 0, 0))),
                new Entry.Event(Entry.Kind.CHANGED, 2, 2_000, "caf\u00e9"));
    }

    private Chain.Head write(List<Entry> entries) throws IOException {
        AuditWriter writer = new AuditWriter(folder, MOST, () -> 0);
        writer.start();
        entries.forEach(writer::add);
        writer.close();
        return writer.head();
    }

    private Path file() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.findFirst().orElseThrow();
        }
    }

    @Test
    void whatWasWrittenIsReadBackOverRestarts() throws IOException {
        write(some());
        Chain.Head head = write(some());
        assertThat(head.number()).isEqualTo(8);
        AuditFolder.Found found = AuditFolder.read(folder, List.of(head));
        assertThat(found.faults()).isEmpty();
        assertThat(found.entries())
                .startsWith(some().toArray(Entry[]::new))
                .endsWith(some().toArray(Entry[]::new))
                .hasSize(8);
    }

    @Test
    void aCutAtEachByteIsToldAndGoneOnBehind() throws IOException {
        Chain.Head head = write(some());
        byte[] whole = Files.readAllBytes(file());
        for (int i = 0; i < whole.length; i++) {
            Files.write(file(), Arrays.copyOf(whole, i));
            assertThat(AuditFolder.read(folder, List.of(head)).faults())
                    .as("cut at " + i)
                    .isNotEmpty();
        }
        Files.write(file(), Arrays.copyOf(whole, whole.length - 3));
        write(List.of(new Entry.Event(Entry.Kind.STARTED, 1, 3_000, "again")));
        AuditFolder.Found found = AuditFolder.read(folder, List.of());
        assertThat(found.faults()).as("half a record is taken off").isEmpty();
        assertThat(found.entries()).hasSize(4);
        assertThat(AuditFolder.read(folder, List.of(head)).faults())
                .as("others know what was there")
                .isNotEmpty();
    }

    @Test
    void eachSpoiltByteIsTold() throws IOException {
        Chain.Head head = write(some());
        byte[] whole = Files.readAllBytes(file());
        for (int i = 0; i < whole.length; i++) {
            byte[] spoilt = whole.clone();
            spoilt[i] ^= 0x04;
            Files.write(file(), spoilt);
            assertThat(AuditFolder.read(folder, List.of(head)).faults())
                    .as("byte " + i)
                    .isNotEmpty();
        }
    }

    @Test
    void oldFilesGoAsAWholeAndTheRestIsStillAChain() throws IOException {
        AuditWriter writer = new AuditWriter(folder, MOST, () -> 0);
        writer.start();
        for (int i = 0; i < 15_000; i++) {
            writer.add(new Entry.Run(1, i, "token " + i));
        }
        writer.close();
        AuditFolder.Found found = AuditFolder.read(folder, List.of(writer.head()));
        assertThat(found.faults()).isEmpty();
        assertThat(found.links().get(0).number()).isGreaterThan(1);
        try (Stream<Path> files = Files.list(folder)) {
            assertThat(files.mapToLong(each -> each.toFile().length()).sum()).isLessThan(2 * MOST);
        }
    }

    @Test
    void whatTheDiskDoesNotTakeIsCountedAndSaid() throws Exception {
        AuditWriter writer = new AuditWriter(folder, 16 * MOST, () -> 77);
        for (int i = 0; i < 20_010; i++) {
            writer.add(new Entry.Run(1, i, "token " + i));
        }
        assertThat(writer.lost()).isEqualTo(10);
        writer.start();
        writer.close();
        assertThat(AuditFolder.read(folder, List.of()).entries())
                .anyMatch(
                        each ->
                                each instanceof Entry.Event event
                                        && event.kind() == Entry.Kind.LOST
                                        && event.text().startsWith("10 records"));
    }
}
