package ochretiller.audit.files;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.HashChain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An audit's files: read back as written, each damage told, and gone on with behind a crash. */
class AuditLogReaderTest {
    private static final long MOST = 1 << 20;

    @TempDir private Path folder;

    private static List<AuditRecord> some() {
        return List.of(
                new AuditRecord.AuditEvent(AuditRecord.AuditEventKind.STARTED, 1, 1_000, "m1"),
                new AuditRecord.KeyedRun(1, 1_500, "token"),
                new AuditRecord.VersionPeriod(
                        1,
                        "a".repeat(64),
                        1_000,
                        2_000,
                        1_000,
                        Map.of(
                                "order",
                                new AuditRecord.InvocationCounts(5, 1, 2, 1, 1),
                                "read",
                                new AuditRecord.InvocationCounts(9, 9, 0, 0, 0))),
                new AuditRecord.AuditEvent(
                        AuditRecord.AuditEventKind.VERSION_CHANGED, 2, 2_000, "caf\u00e9"));
    }

    private HashChain.ChainHead write(List<AuditRecord> entries) throws IOException {
        AuditLogWriter writer = new AuditLogWriter(folder, MOST, () -> 0);
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
        HashChain.ChainHead head = write(some());
        assertThat(head.number()).isEqualTo(8);
        AuditLogReader.AuditLog found = AuditLogReader.read(folder, List.of(head));
        assertThat(found.faults()).isEmpty();
        assertThat(found.decodedRecords())
                .startsWith(some().toArray(AuditRecord[]::new))
                .endsWith(some().toArray(AuditRecord[]::new))
                .hasSize(8);
    }

    @Test
    void aCutAtEachByteIsToldAndGoneOnBehind() throws IOException {
        HashChain.ChainHead head = write(some());
        byte[] whole = Files.readAllBytes(file());
        for (int i = 0; i < whole.length; i++) {
            Files.write(file(), Arrays.copyOf(whole, i));
            assertThat(AuditLogReader.read(folder, List.of(head)).faults())
                    .as("cut at " + i)
                    .isNotEmpty();
        }
        Files.write(file(), Arrays.copyOf(whole, whole.length - 3));
        write(
                List.of(
                        new AuditRecord.AuditEvent(
                                AuditRecord.AuditEventKind.STARTED, 1, 3_000, "again")));
        AuditLogReader.AuditLog found = AuditLogReader.read(folder, List.of());
        assertThat(found.faults()).as("half a record is taken off").isEmpty();
        assertThat(found.decodedRecords()).hasSize(4);
        assertThat(AuditLogReader.read(folder, List.of(head)).faults())
                .as("others know what was there")
                .isNotEmpty();
    }

    @Test
    void eachSpoiltByteIsTold() throws IOException {
        HashChain.ChainHead head = write(some());
        byte[] whole = Files.readAllBytes(file());
        for (int i = 0; i < whole.length; i++) {
            byte[] spoilt = whole.clone();
            spoilt[i] ^= 0x04;
            Files.write(file(), spoilt);
            assertThat(AuditLogReader.read(folder, List.of(head)).faults())
                    .as("byte " + i)
                    .isNotEmpty();
        }
    }

    @Test
    void oldFilesGoAsAWholeAndTheRestIsStillAChain() throws IOException {
        AuditLogWriter writer = new AuditLogWriter(folder, MOST, () -> 0);
        writer.start();
        for (int i = 0; i < 15_000; i++) {
            writer.add(new AuditRecord.KeyedRun(1, i, "token " + i));
        }
        writer.close();
        AuditLogReader.AuditLog found = AuditLogReader.read(folder, List.of(writer.head()));
        assertThat(found.faults()).isEmpty();
        assertThat(found.records().get(0).number()).isGreaterThan(1);
        try (Stream<Path> files = Files.list(folder)) {
            assertThat(files.mapToLong(each -> each.toFile().length()).sum()).isLessThan(2 * MOST);
        }
    }

    @Test
    void whatTheDiskDoesNotTakeIsCountedAndSaid() throws Exception {
        AuditLogWriter writer = new AuditLogWriter(folder, 16 * MOST, () -> 77);
        for (int i = 0; i < 20_010; i++) {
            writer.add(new AuditRecord.KeyedRun(1, i, "token " + i));
        }
        assertThat(writer.lostRecords()).isEqualTo(10);
        writer.start();
        writer.close();
        assertThat(AuditLogReader.read(folder, List.of()).decodedRecords())
                .anyMatch(
                        each ->
                                each instanceof AuditRecord.AuditEvent event
                                        && event.kind() == AuditRecord.AuditEventKind.RECORDS_LOST
                                        && event.text().startsWith("10 records"));
    }
}
