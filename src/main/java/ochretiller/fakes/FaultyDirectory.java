package ochretiller.fakes;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import ochretiller.store.StorageDirectory;
import ochretiller.store.StorageFile;

/**
 * Injects the fault that a file names, for as long as the file exists: {@code full} fails every
 * change, and any other text, such as {@code stall}, blocks it. Reads and deletions still work.
 */
public final class FaultyDirectory implements StorageDirectory {
    private static final long POLL_INTERVAL_NANOS = 5_000_000;

    private final StorageDirectory directory;
    private final Path faultFile;

    /**
     * Wraps a directory.
     *
     * @param faultFile read before each change; while it does not exist, no fault is injected
     */
    public FaultyDirectory(StorageDirectory directory, Path faultFile) {
        this.directory = directory;
        this.faultFile = faultFile;
    }

    /** Blocks until changes are permitted; throws if the injected fault is a full disk. */
    private void awaitWritable() throws IOException {
        for (String fault = currentFault(); fault != null; fault = currentFault()) {
            if (fault.equals("full")) {
                throw new IOException("no space left on the disk (injected fault)");
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    private String currentFault() throws IOException {
        try {
            return Files.readString(faultFile).strip();
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public Closeable acquireLock() throws IOException {
        return directory.acquireLock();
    }

    @Override
    public List<String> listFiles() throws IOException {
        return directory.listFiles();
    }

    @Override
    public StorageFile open(String name) throws IOException {
        return new FaultyFile(directory.open(name));
    }

    @Override
    public StorageFile create(String name) throws IOException {
        awaitWritable();
        return new FaultyFile(directory.create(name));
    }

    @Override
    public void delete(String name) throws IOException {
        directory.delete(name);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        awaitWritable();
        directory.rename(from, to);
    }

    @Override
    public void forceDirectory() throws IOException {
        awaitWritable();
        directory.forceDirectory();
    }

    private final class FaultyFile implements StorageFile {
        private final StorageFile file;

        FaultyFile(StorageFile file) {
            this.file = file;
        }

        @Override
        public void write(ByteBuffer bytes, long position) throws IOException {
            awaitWritable();
            file.write(bytes, position);
        }

        @Override
        public int read(ByteBuffer target, long position) throws IOException {
            return file.read(target, position);
        }

        @Override
        public void force() throws IOException {
            awaitWritable();
            file.force();
        }

        @Override
        public long size() throws IOException {
            return file.size();
        }

        @Override
        public void truncate(long size) throws IOException {
            awaitWritable();
            file.truncate(size);
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }
}
