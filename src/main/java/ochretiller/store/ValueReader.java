package ochretiller.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Reads values from segments. Stateless and thread-safe. */
final class ValueReader {
    private ValueReader() {}

    /**
     * Reads the value of an entry.
     *
     * @param file open file of the entry's segment
     * @return empty if the record on disk is no longer the one that was written, so that a corrupt
     *     value is never returned
     */
    static Optional<byte[]> read(StorageFile file, IndexEntry entry) throws IOException {
        ByteBuffer in = ByteBuffer.allocate(entry.recordBytes());
        file.read(in, entry.offset());
        in.flip();
        if (RecordFormat.inspect(in) != RecordStatus.VALID) {
            return Optional.empty();
        }
        DecodedRecord record = RecordFormat.decode(in);
        if (record.attributes().sequence() != entry.sequence()) {
            return Optional.empty();
        }
        byte[] value = new byte[record.valueLength()];
        in.get(record.valueOffset(), value);
        return Optional.of(value);
    }
}
