package ochretiller.audit.files;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ochretiller.audit.ChainFault;
import ochretiller.audit.ChainHead;
import ochretiller.audit.ChainVerifier;
import ochretiller.audit.ChainedRecord;

/**
 * Reads and verifies the audit files of any server without changing them. Each instance serves one
 * call of {@link #read}.
 */
public final class AuditLogReader {
    private final List<ChainedRecord> records = new ArrayList<>();
    private final List<ChainFault> faults = new ArrayList<>();
    private long lastRecordEnd;

    private AuditLogReader() {}

    /**
     * Reads all files and verifies their chain, also against the known heads.
     *
     * @param knownHeads heads of this chain that peers have recorded
     * @throws IOException if a file cannot be read; damaged content is reported in the result's
     *     faults instead
     */
    public static AuditLog read(Path directory, List<ChainHead> knownHeads) throws IOException {
        AuditLogReader reader = new AuditLogReader();
        List<Path> files = AuditFileFormat.listFiles(directory);
        for (Path file : files) {
            boolean isLast = file.equals(files.get(files.size() - 1));
            reader.readFile(file, isLast);
        }
        reader.faults.addAll(ChainVerifier.verify(reader.records, knownHeads));
        reader.checkBodies();
        return new AuditLog(reader.records, reader.faults, reader.lastRecordEnd);
    }

    private void readFile(Path file, boolean isLast) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
        lastRecordEnd = 0;
        while (in.hasRemaining()) {
            Optional<ChainedRecord> record = AuditFileFormat.decode(in);
            if (record.isEmpty()) {
                reportIncompleteRecord(file, isLast);
                return;
            }
            records.add(record.get());
            lastRecordEnd = in.position();
        }
    }

    /**
     * Reports an incomplete record. At the end of the last file it is a torn write, which was never
     * reported to a peer; elsewhere it is damage.
     */
    private void reportIncompleteRecord(Path file, boolean isLast) {
        long number = records.isEmpty() ? 1 : records.get(records.size() - 1).number() + 1;
        String problem =
                isLast ? " ends in the midst of a record, at byte " : " is damaged from byte ";
        faults.add(new ChainFault(number, file.getFileName() + problem + lastRecordEnd));
    }

    private void checkBodies() {
        for (ChainedRecord record : records) {
            if (!record.isIntact()) {
                continue; // reported by ChainVerifier
            }
            try {
                AuditRecordCodec.decode(record.body());
            } catch (IllegalArgumentException e) {
                faults.add(new ChainFault(record.number(), e.getMessage()));
            }
        }
    }
}
