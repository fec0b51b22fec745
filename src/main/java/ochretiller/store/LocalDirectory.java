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
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A folder of the file system. */
public final class LocalDirectory implements StorageDirectory {
    private static final String LOCK = "LOCK";

    private final Path folder;

    /** The folder is made when it is locked, where it is not there yet. */
    public LocalDirectory(Path folder) {
        this.folder = folder;
    }

    @Override
    public Closeable acquireLock() throws IOException {
        Files.createDirectories(folder);
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null; // this process has it open already
        }
        if (lock != null) {
            return channel;
        }
        channel.close();
        throw new StoreException("the store in " + folder + " is in use by another process");
    }

    @Override
    public List<String> listFiles() throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new StoreException("there is no store in " + folder);
        }
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .collect(Collectors.toList());
        }
    }

    private StorageFile channel(String name, OpenOption... options) throws IOException {
        return new Channel(FileChannel.open(folder.resolve(name), options));
    }

    @Override
    public StorageFile open(String name) throws IOException {
        Path file = folder.resolve(name);
        return Files.isWritable(file)
                ? channel(name, StandardOpenOption.READ, StandardOpenOption.WRITE)
                : channel(
                        name,
                        StandardOpenOption
                                .READ); // a reader may look at a store that it must not change
    }

    @Override
    public StorageFile create(String name) throws IOException {
        return channel(
                name,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE,
                StandardOpenOption.CREATE_NEW);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void forceDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private record Channel(FileChannel channel) implements StorageFile {
        @Override
        public void write(ByteBuffer bytes, long at) throws IOException {
            for (long place = at; bytes.hasRemaining(); ) {
                place += channel.write(bytes, place);
            }
        }

        @Override
        public int read(ByteBuffer into, long at) throws IOException {
            int from = into.position();
            for (int n = 0; into.hasRemaining() && n >= 0; ) {
                n = channel.read(into, at + into.position() - from);
            }
            return into.position() - from;
        }

        @Override
        public void force() throws IOException {
            channel.force(
                    false); // the length of the file goes along: what was appended could not be
            // read without it
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
