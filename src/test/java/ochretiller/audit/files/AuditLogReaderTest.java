package ochretiller.audit.files;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import ochretiller.audit.AuditEvent;
import ochretiller.audit.AuditEventKind;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.ChainHead;
import ochretiller.audit.InvocationCounts;
import ochretiller.audit.KeyedRun;
import ochretiller.audit.VersionPeriod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Audit files are read as written, damage is reported, and writing resumes after a crash. */
class AuditLogReaderTest {
    private static final long MAX_BYTES = 1 << 20;
    private static final List<AuditRecord> RECORDS =
            List.of(
                    new AuditEvent(AuditEventKind.STARTED, 1, 1_000, "m1"),
                    new KeyedRun(1, 1_500, "token"),
                    new VersionPeriod(
                            1,
                            "a".repeat(64),
                            1_000,
                            2_000,
                            1_000,
                            Map.of(
                                    "order", new InvocationCounts(5, 1, 2, 1, 1),
                                    "read", new InvocationCounts(9, 9, 0, 0, 0))),
                    new AuditEvent(AuditEventKind.VERSION_CHANGED, 2, 2_000, "caf\u00e9"));

    @TempDir private Path directory;

    private ChainHead write(List<AuditRecord> records) throws IOException {
        AuditLogWriter writer = new AuditLogWriter(directory, MAX_BYTES, () -> 0);
        writer.start();
        records.forEach(writer::add);
        writer.close();
        return writer.head();
    }

    private Path onlyFile() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.findFirst().orElseThrow();
        }
    }

    @Test
    void recordsAreReadAsWrittenAcrossRestarts() throws IOException {
        write(RECORDS);
        ChainHead head = write(RECORDS);
        assertThat(head.number()).isEqualTo(8);
        AuditLog log = AuditLogReader.read(directory, List.of(head));
        assertThat(log.faults()).isEmpty();
        AuditRecord[] written = RECORDS.toArray(AuditRecord[]::new);
        assertThat(log.decodedRecords()).startsWith(written).endsWith(written).hasSize(8);
    }

    @Test
    void truncationAtEachByteIsReportedAndWritingResumes() throws IOException {
        ChainHead head = write(RECORDS);
        byte[] whole = Files.readAllBytes(onlyFile());
        for (int length = 0; length < whole.length; length++) {
            Files.write(onlyFile(), Arrays.copyOf(whole, length));
            assertThat(AuditLogReader.read(directory, List.of(head)).faults())
                    .as("truncated to " + length + " bytes")
                    .isNotEmpty();
        }
        Files.write(onlyFile(), Arrays.copyOf(whole, whole.length - 3));
        write(List.of(new AuditEvent(AuditEventKind.STARTED, 1, 3_000, "again")));
        AuditLog log = AuditLogReader.read(directory, List.of());
        assertThat(log.faults()).as("the incomplete record is removed").isEmpty();
        assertThat(log.decodedRecords()).hasSize(4);
        assertThat(AuditLogReader.read(directory, List.of(head)).faults())
                .as("the known head shows the lost record")
                .isNotEmpty();
    }

    @Test
    void eachChangedByteIsReported() throws IOException {
        ChainHead head = write(RECORDS);
        byte[] whole = Files.readAllBytes(onlyFile());
        for (int i = 0; i < whole.length; i++) {
            byte[] changed = whole.clone();
            changed[i] ^= 0x04;
            Files.write(onlyFile(), changed);
            assertThat(AuditLogReader.read(directory, List.of(head)).faults())
                    .as("byte " + i)
                    .isNotEmpty();
        }
    }

    @Test
    void oldFilesAreDeletedAndTheOthersRemainAValidChain() throws IOException {
        AuditLogWriter writer = new AuditLogWriter(directory, MAX_BYTES, () -> 0);
        writer.start();
        for (int i = 0; i < 15_000; i++) {
            writer.add(new KeyedRun(1, i, "token " + i));
        }
        writer.close();
        AuditLog log = AuditLogReader.read(directory, List.of(writer.head()));
        assertThat(log.faults()).isEmpty();
        assertThat(log.records().get(0).number()).isGreaterThan(1);
        try (Stream<Path> files = Files.list(directory)) {
            assertThat(files.mapToLong(file -> file.toFile().length()).sum())
                    .isLessThan(2 * MAX_BYTES);
        }
    }

    @Test
    void recordsBeyondTheQueueLimitAreCountedAndReported() throws Exception {
        AuditLogWriter writer = new AuditLogWriter(directory, 16 * MAX_BYTES, () -> 77);
        for (int i = 0; i < 20_010; i++) {
            writer.add(new KeyedRun(1, i, "token " + i));
        }
        assertThat(writer.lostRecords()).isEqualTo(10);
        writer.start();
        writer.close();
        assertThat(AuditLogReader.read(directory, List.of()).decodedRecords())
                .anyMatch(
                        record ->
                                record instanceof AuditEvent event
                                        && event.kind() == AuditEventKind.RECORDS_LOST
                                        && event.text().startsWith("10 records"));
    }
}
