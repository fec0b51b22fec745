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
 * A disk with a fault for as long as a file is there that names it: {@code full}, where it takes
 * nothing, or {@code stall}, where it waits.
 */
public final class FaultyDirectory implements StorageDirectory {
    private static final long LOOKS_NANOS = 5_000_000;

    private final StorageDirectory disk;
    private final Path fault;

    public FaultyDirectory(StorageDirectory disk, Path fault) {
        this.disk = disk;
        this.fault = fault;
    }

    /** Returns once a change may be tried. */
    private void changes() throws IOException {
        for (String what = fault(); what != null; what = fault()) {
            if (what.equals("full")) {
                throw new IOException("no space left on the disk, says the drill");
            }
            LockSupport.parkNanos(LOOKS_NANOS);
        }
    }

    private String fault() throws IOException {
        try {
            return Files.readString(fault).strip();
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public Closeable acquireLock() throws IOException {
        return disk.acquireLock();
    }

    @Override
    public List<String> listFiles() throws IOException {
        return disk.listFiles();
    }

    @Override
    public StorageFile open(String name) throws IOException {
        return new Faulty(disk.open(name));
    }

    @Override
    public StorageFile create(String name) throws IOException {
        changes();
        return new Faulty(disk.create(name));
    }

    @Override
    public void delete(String name) throws IOException {
        disk.delete(name);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        changes();
        disk.rename(from, to);
    }

    @Override
    public void forceDirectory() throws IOException {
        changes();
        disk.forceDirectory();
    }

    private final class Faulty implements StorageFile {
        private final StorageFile file;

        Faulty(StorageFile file) {
            this.file = file;
        }

        @Override
        public void write(ByteBuffer bytes, long at) throws IOException {
            changes();
            file.write(bytes, at);
        }

        @Override
        public int read(ByteBuffer into, long at) throws IOException {
            return file.read(into, at);
        }

        @Override
        public void force() throws IOException {
            changes();
            file.force();
        }

        @Override
        public long size() throws IOException {
            return file.size();
        }

        @Override
        public void truncate(long size) throws IOException {
            changes();
            file.truncate(size);
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }
}
