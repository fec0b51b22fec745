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
 * What a directory of an audit holds. Immutable.
 *
 * @param records oldest first
 * @param faults of the files and of the chain; empty where all is as it was written
 * @param lastRecordEnd where the last whole record of the last file ends, in bytes from its start
 */
public record AuditLog(List<ChainedRecord> records, List<ChainFault> faults, long lastRecordEnd) {
    /** The records that can be read; each of the others is among the faults. */
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

    /** Where the chain ends. */
    public ChainHead head() {
        return HashChain.continuing(lastRecord()).head();
    }

    Optional<ChainedRecord> lastRecord() {
        return records.isEmpty() ? Optional.empty() : Optional.of(records.get(records.size() - 1));
    }
}
