package ochretiller.audit.files;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.HashChain;

/** Reads an audit's files, whoever's they are; nothing is changed by it. */
public final class AuditLogReader {
    static final String PREFIX = "audit-";
    static final String SUFFIX = ".log";

    /** Bytes before a record's own: its length, its number, the hash before it and its own. */
    static final int FRAME_BYTES = 4 + 8 + 2 * HashChain.HASH_BYTES;

    /** Longest record, in bytes: a span of all operations that are told apart. */
    static final int MAX_BODY_BYTES = 64 * 1024;

    private AuditLogReader() {}

    /**
     * What was found.
     *
     * @param records records, oldest first
     * @param faults of files and of the chain
     * @param lastRecordEnd where the last whole record of the last file ends
     */
    public record AuditLog(
            List<HashChain.ChainedRecord> records,
            List<HashChain.ChainFault> faults,
            long lastRecordEnd) {
        /**
         * The records that can be read; those that cannot are among the faults of {@link
         * AuditLogReader#read}.
         */
        public List<AuditRecord> decodedRecords() {
            List<AuditRecord> all = new ArrayList<>();
            for (HashChain.ChainedRecord each : records) {
                try {
                    if (each.isIntact()) {
                        all.add(AuditRecordCodec.decode(each.body()));
                    }
                } catch (IllegalArgumentException e) {
                    // it is told as a fault
                }
            }
            return all;
        }

        public HashChain.ChainHead head() {
            return HashChain.continuing(records.isEmpty() ? null : records.get(records.size() - 1))
                    .head();
        }
    }

    /** The files, oldest first. */
    static List<Path> logFiles(Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(
                            each ->
                                    each.getFileName().toString().startsWith(PREFIX)
                                            && each.getFileName().toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
        } catch (NoSuchFileException e) {
            return List.of();
        }
    }

    /**
     * Reads all of it and holds it against itself and what others know.
     *
     * @param known heads of this chain that others were told of
     */
    public static AuditLog read(Path folder, List<HashChain.ChainHead> known) throws IOException {
        List<HashChain.ChainedRecord> links = new ArrayList<>();
        List<HashChain.ChainFault> faults = new ArrayList<>();
        List<Path> files = logFiles(folder);
        long end = 0;
        for (Path file : files) {
            boolean last = file.equals(files.get(files.size() - 1));
            ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
            end = 0;
            while (bytes.hasRemaining()) {
                HashChain.ChainedRecord link = link(bytes);
                if (link == null) {
                    // What a crash has cut off at the end was never told to anybody as kept;
                    // anywhere else it is a fault.
                    long number = links.isEmpty() ? 1 : links.get(links.size() - 1).number() + 1;
                    faults.add(
                            new HashChain.ChainFault(
                                    number,
                                    file.getFileName()
                                            + (last
                                                    ? " ends in the midst of a record, at byte "
                                                    : " is damaged from byte ")
                                            + end));
                    break;
                }
                links.add(link);
                end = bytes.position();
            }
        }
        faults.addAll(HashChain.verify(links, known));
        for (HashChain.ChainedRecord each : links) {
            if (!each.isIntact()) {
                continue;
            }
            try {
                AuditRecordCodec.decode(each.body());
            } catch (IllegalArgumentException e) {
                faults.add(new HashChain.ChainFault(each.number(), e.getMessage()));
            }
        }
        return new AuditLog(links, faults, end);
    }

    private static HashChain.ChainedRecord link(ByteBuffer bytes) {
        if (bytes.remaining() < FRAME_BYTES) {
            return null;
        }
        int length = bytes.getInt(bytes.position());
        if (length < 0 || length > MAX_BODY_BYTES || bytes.remaining() < FRAME_BYTES + length) {
            return null;
        }
        bytes.getInt();
        long number = bytes.getLong();
        byte[] before = new byte[HashChain.HASH_BYTES];
        byte[] hash = new byte[HashChain.HASH_BYTES];
        byte[] body = new byte[length];
        bytes.get(before).get(hash).get(body);
        return new HashChain.ChainedRecord(number, before, hash, body);
    }

    static byte[] frame(HashChain.ChainedRecord link) {
        return ByteBuffer.allocate(FRAME_BYTES + link.body().length)
                .putInt(link.body().length)
                .putLong(link.number())
                .put(link.previousHash())
                .put(link.hash())
                .put(link.body())
                .array();
    }
}
