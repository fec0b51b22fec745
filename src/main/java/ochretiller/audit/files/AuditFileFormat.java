package ochretiller.audit.files;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import ochretiller.audit.ChainedRecord;
import ochretiller.audit.HashChain;

/**
 * Names of an audit's files and the frame of a record, as {@code docs/audit-format.md} specifies
 * them. Stateless and thread-safe.
 */
final class AuditFileFormat {
    private static final String PREFIX = "audit-";
    private static final String SUFFIX = ".log";

    /** Size in bytes of a frame: body length, record number, previous hash and hash. */
    private static final int FRAME_BYTES = Integer.BYTES + Long.BYTES + 2 * HashChain.HASH_BYTES;

    /** Maximum length of a body: fits a period with the maximum number of operations. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private AuditFileFormat() {}

    /** Returns the name of the file whose first record has this number. */
    static String fileName(long firstRecordNumber) {
        return String.format("%s%019d%s", PREFIX, firstRecordNumber, SUFFIX);
    }

    /** Returns the audit files in a directory, oldest first; none if it does not exist. */
    static List<Path> listFiles(Path directory) throws IOException {
        try (Stream<Path> all = Files.list(directory)) {
            return all.filter(AuditFileFormat::isAuditFile).sorted().toList();
        } catch (NoSuchFileException e) {
            return List.of();
        }
    }

    private static boolean isAuditFile(Path file) {
        String name = file.getFileName().toString();
        return name.startsWith(PREFIX) && name.endsWith(SUFFIX);
    }

    /** Returns the frame and the body of a record. */
    static byte[] encode(ChainedRecord record) {
        ByteBuffer out = ByteBuffer.allocate(FRAME_BYTES + record.body().length);
        out.putInt(record.body().length);
        out.putLong(record.number());
        out.put(record.previousHash());
        out.put(record.hash());
        out.put(record.body());
        return out.array();
    }

    /**
     * Reads the record at the buffer's position and advances past it. Returns empty without
     * advancing if there is no complete record.
     */
    static Optional<ChainedRecord> decode(ByteBuffer in) {
        if (in.remaining() < FRAME_BYTES) {
            return Optional.empty();
        }
        int bodyLength = in.getInt(in.position());
        if (bodyLength < 0
                || bodyLength > MAX_BODY_BYTES
                || in.remaining() < FRAME_BYTES + bodyLength) {
            return Optional.empty();
        }
        in.getInt();
        long number = in.getLong();
        byte[] previousHash = new byte[HashChain.HASH_BYTES];
        byte[] hash = new byte[HashChain.HASH_BYTES];
        byte[] body = new byte[bodyLength];
        in.get(previousHash);
        in.get(hash);
        in.get(body);
        return Optional.of(new ChainedRecord(number, previousHash, hash, body));
    }
}
