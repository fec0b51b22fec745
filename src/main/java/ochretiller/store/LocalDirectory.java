package ochretiller.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A directory of the local file system. Immutable; files are accessed by {@link FileChannel}, which
 * is thread-safe.
 */
public final class LocalDirectory implements StorageDirectory {
    private final Path directory;

    /**
     * Refers to a directory that need not exist yet; {@link #acquireLock} creates it.
     *
     * @param directory directory of the store's files
     */
    public LocalDirectory(Path directory) {
        this.directory = directory;
    }

    @Override
    public Closeable acquireLock() throws IOException {
        Files.createDirectories(directory);
        Path lockFile = directory.resolve(SegmentFileName.LOCK_FILE);
        FileChannel channel =
                FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (tryLock(channel).isPresent()) {
            return channel;
        }
        channel.close();
        throw new StoreException("the store in " + directory + " is in use by another process");
    }

    private static Optional<FileLock> tryLock(FileChannel channel) throws IOException {
        try {
            return Optional.ofNullable(channel.tryLock());
        } catch (OverlappingFileLockException e) {
            return Optional.empty(); // this process itself has the store open
        }
    }

    @Override
    public List<String> listFiles() throws IOException {
        if (!Files.isDirectory(directory)) {
            throw new StoreException("there is no store in " + directory);
        }
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .collect(Collectors.toList());
        }
    }

    @Override
    public StorageFile open(String name) throws IOException {
        // An inspection may read a store without permission to write it.
        boolean writable = Files.isWritable(directory.resolve(name));
        return writable
                ? openChannel(name, StandardOpenOption.READ, StandardOpenOption.WRITE)
                : openChannel(name, StandardOpenOption.READ);
    }

    @Override
    public StorageFile create(String name) throws IOException {
        return openChannel(
                name,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE,
                StandardOpenOption.CREATE_NEW);
    }

    private StorageFile openChannel(String name, OpenOption... options) throws IOException {
        return new LocalFile(FileChannel.open(directory.resolve(name), options));
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void forceDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private record LocalFile(FileChannel channel) implements StorageFile {
        @Override
        public void write(ByteBuffer bytes, long position) throws IOException {
            long next = position;
            while (bytes.hasRemaining()) {
                next += channel.write(bytes, next);
            }
        }

        @Override
        public int read(ByteBuffer target, long position) throws IOException {
            int start = target.position();
            int count = 0;
            while (target.hasRemaining() && count >= 0) {
                count = channel.read(target, position + target.position() - start);
            }
            return target.position() - start;
        }

        @Override
        public void force() throws IOException {
            // Does not force metadata such as timestamps. The file length is forced nevertheless,
            // as appended bytes could not be read without it.
            channel.force(false);
        }

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
