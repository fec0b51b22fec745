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
 * Appends groups of records to the newest file of an audit, starts the next file when the maximum
 * size is reached, and deletes the oldest files. Not thread-safe; owned by its creator, then by the
 * writer thread.
 */
final class AuditLogFile implements Closeable {
    /** Number of files that make up an audit; the oldest is deleted as a whole. */
    private static final int MAX_FILES = 16;

    private static final long MIN_FILE_BYTES = 64 * 1024;

    private final Path directory;
    private final long maxFileBytes;
    private HashChain chain;
    private Optional<FileChannel> file = Optional.empty();
    private long fileBytes;

    /**
     * Opens the newest file for appending and truncates an incomplete record that a crash has left.
     *
     * @param existing content of the directory, read by {@link AuditLogReader}
     * @param maxBytes approximate maximum size of all files together
     */
    AuditLogFile(Path directory, AuditLog existing, long maxBytes) throws IOException {
        this.directory = directory;
        this.maxFileBytes = Math.max(MIN_FILE_BYTES, maxBytes / MAX_FILES);
        this.chain = HashChain.resumeAfter(existing.lastRecord());
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

    /** Returns the head of the chain on disk. */
    ChainHead head() {
        return chain.head();
    }

    /**
     * Appends a group of records and forces it to stable storage. The chain changes only if all of
     * the group was stored.
     *
     * @throws IOException if the group cannot be written
     */
    void append(List<AuditRecord> group) throws IOException {
        if (file.isEmpty() || fileBytes >= maxFileBytes) {
            startNextFile();
        }
        HashChain extended = HashChain.copyOf(chain);
        FileChannel channel = file.orElseThrow();
        long sizeBefore = fileBytes;
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
            // Part of the group may have been written: without truncation the next record would
            // follow an incomplete one.
            channel.truncate(sizeBefore);
            channel.position(sizeBefore);
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
