package ochretiller.audit.files;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.ChainFault;
import ochretiller.audit.ChainHead;
import ochretiller.audit.ChainedRecord;
import ochretiller.audit.HashChain;

/**
 * Content of an audit directory. Immutable.
 *
 * @param records records of all files, oldest first
 * @param faults faults of the files and of the chain; empty if they are unchanged
 * @param lastRecordEnd end of the last complete record, in bytes from the start of the last file
 */
public record AuditLog(List<ChainedRecord> records, List<ChainFault> faults, long lastRecordEnd) {
    /** Returns the records that can be decoded; the faults include all others. */
    public List<AuditRecord> decodedRecords() {
        List<AuditRecord> decoded = new ArrayList<>();
        for (ChainedRecord record : records) {
            if (record.isIntact()) {
                tryDecode(record).ifPresent(decoded::add);
            }
        }
        return decoded;
    }

    private static Optional<AuditRecord> tryDecode(ChainedRecord record) {
        try {
            return Optional.of(AuditRecordCodec.decode(record.body()));
        } catch (IllegalArgumentException e) {
            return Optional.empty(); // the reader has reported it as a fault
        }
    }

    /** Returns the head of the chain. */
    public ChainHead head() {
        return HashChain.resumeAfter(lastRecord()).head();
    }

    Optional<ChainedRecord> lastRecord() {
        return records.isEmpty() ? Optional.empty() : Optional.of(records.get(records.size() - 1));
    }
}
