package ochretiller.audit.files;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import ochretiller.audit.AuditRecord;
import ochretiller.audit.ChainHead;
import ochretiller.audit.HashChain;

/**
 * The end of an audit on disk: appends groups of records to the newest file, goes on with the next
 * one at its size, and deletes the oldest. Not safe for several threads; owned by who opened it,
 * then by the writer's thread.
 */
final class AuditLogFile implements Closeable {
    /** The bytes of an audit are spread over this many files; the oldest goes as a whole. */
    private static final int MAX_FILES = 16;

    private static final long MIN_FILE_BYTES = 64 * 1024;

    private final Path directory;
    private final long maxFileBytes;
    private HashChain chain;
    private Optional<FileChannel> file = Optional.empty();
    private long fileBytes;

    /**
     * Goes on after what is there; a record that a crash has torn is cut off.
     *
     * @param existing what {@link AuditLogReader} has read in the directory
     * @param maxBytes of all files together, approximately
     */
    AuditLogFile(Path directory, AuditLog existing, long maxBytes) throws IOException {
        this.directory = directory;
        this.maxFileBytes = Math.max(MIN_FILE_BYTES, maxBytes / MAX_FILES);
        this.chain = HashChain.continuing(existing.lastRecord());
        List<Path> files = AuditFileFormat.listFiles(directory);
        if (!files.isEmpty()) {
            FileChannel newest =
                    FileChannel.open(files.get(files.size() - 1), StandardOpenOption.WRITE);
            newest.truncate(existing.lastRecordEnd());
            newest.position(existing.lastRecordEnd());
            file = Optional.of(newest);
            fileBytes = existing.lastRecordEnd();
        }
    }

    /** Where the chain on disk ends. */
    ChainHead head() {
        return chain.head();
    }

    /**
     * Appends a group of records and forces it. Either all of it is on stable storage, or the chain
     * stays as it was.
     *
     * @throws IOException where the disk does not take the group
     */
    void append(List<AuditRecord> group) throws IOException {
        if (file.isEmpty() || fileBytes >= maxFileBytes) {
            startNextFile();
        }
        HashChain extended = HashChain.copyOf(chain);
        FileChannel channel = file.orElseThrow();
        long before = fileBytes;
        try {
            long bytes = 0;
            for (AuditRecord record : group) {
                bytes +=
                        writeFully(
                                channel,
                                AuditFileFormat.encode(
                                        extended.append(AuditRecordCodec.encode(record))));
            }
            channel.force(false);
            fileBytes += bytes;
        } catch (IOException e) {
            // Part of the group may have been written: without the cut the next record would stand
            // behind half a record.
            channel.truncate(before);
            channel.position(before);
            throw e;
        }
        chain = extended;
    }

    private static long writeFully(FileChannel channel, byte[] bytes) throws IOException {
        ByteBuffer out = ByteBuffer.wrap(bytes);
        while (out.hasRemaining()) {
            channel.write(out);
        }
        return bytes.length;
    }

    private void startNextFile() throws IOException {
        close();
        Path next = directory.resolve(AuditFileFormat.fileName(chain.head().number() + 1));
        file =
                Optional.of(
                        FileChannel.open(
                                next,
                                StandardOpenOption.CREATE,
                                StandardOpenOption.WRITE,
                                StandardOpenOption.TRUNCATE_EXISTING));
        fileBytes = 0;
        List<Path> files = AuditFileFormat.listFiles(directory);
        for (Path old : files.subList(0, Math.max(0, files.size() - MAX_FILES))) {
            Files.deleteIfExists(old);
        }
    }

    @Override
    public void close() throws IOException {
        if (file.isPresent()) {
            file.get().close();
        }
    }
}
