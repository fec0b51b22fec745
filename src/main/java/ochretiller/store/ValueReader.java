package ochretiller.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Reads values from segments. Stateless; safe for any thread. */
final class ValueReader {
    private ValueReader() {}

    /**
     * The value of an entry.
     *
     * @param file the entry's segment
     * @return empty where the record on disk is no longer the one that was written: a value that
     *     went bad is never handed out
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
