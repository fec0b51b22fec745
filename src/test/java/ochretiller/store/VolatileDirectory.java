package ochretiller.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;

/**
 * An in-memory directory that simulates power losses, in which a random part of the unforced writes
 * is lost, and stalls and failures on demand. Thread-safe.
 */
public final class VolatileDirectory implements StorageDirectory {
    /** A fault that does nothing. */
    public static final Fault NO_FAULT = (operation, name) -> {};

    /** Unforced bytes survive or are lost in pages of this size. */
    private static final int PAGE_BYTES = 64;

    /** Applied before each operation; replaced by tests while the store is running. */
    public volatile Fault fault = NO_FAULT;

    private final Map<String, Contents> files = new TreeMap<>();

    /** The files by name when the directory was last forced. */
    private Map<String, Contents> forcedNames = new TreeMap<>();

    private boolean locked;

    /** Called before an operation; may return at once, block, or fail the operation. */
    @FunctionalInterface
    public interface Fault {
        /**
         * Called before an operation is executed.
         *
         * @param operation {@code read}, {@code write}, {@code force}, {@code truncate}, {@code
         *     create}, {@code delete}, {@code rename} or {@code folder}, which forces the directory
         * @param name name of the file; empty for {@code folder}
         */
        void before(String operation, String name) throws IOException;
    }

    private static final class Contents {
        private byte[] written = {};
        private byte[] forced = {};

        static Contents durable(byte[] bytes) {
            Contents contents = new Contents();
            contents.written = bytes;
            contents.forced = bytes;
            return contents;
        }
    }

    /** Creates a directory with these files, all of them forced. */
    public static VolatileDirectory withContents(Map<String, byte[]> contents) {
        VolatileDirectory directory = new VolatileDirectory();
        contents.forEach(
                (name, bytes) -> directory.files.put(name, Contents.durable(bytes.clone())));
        directory.forcedNames = new TreeMap<>(directory.files);
        return directory;
    }

    /**
     * Returns the directory after a power loss: unforced pages and unforced names survive at
     * random.
     */
    public synchronized VolatileDirectory afterPowerLoss(SplittableRandom random) {
        Map<String, Contents> survivingNames = random.nextBoolean() ? files : forcedNames;
        Map<String, byte[]> survivors = new TreeMap<>();
        survivingNames.forEach(
                (name, contents) -> survivors.put(name, afterPowerLoss(contents, random)));
        return withContents(survivors);
    }

    private static byte[] afterPowerLoss(Contents contents, SplittableRandom random) {
        byte[] written = contents.written;
        byte[] forced = contents.forced;
        int mode = random.nextInt(3);
        if (mode == 0) {
            return forced.clone();
        }
        if (written.length < forced.length) {
            return random.nextBoolean() ? written.clone() : forced.clone();
        }
        int length = forced.length + random.nextInt(written.length - forced.length + 1);
        byte[] surviving = Arrays.copyOf(written, length);
        for (int page = 0; page < length; page += PAGE_BYTES) {
            // Simulates reordered writes: a page may survive although an earlier one is lost.
            boolean isLost = mode == 2 && random.nextInt(4) == 0;
            int end = isLost ? Math.min(page + PAGE_BYTES, length) : page;
            for (int i = page; i < end; i++) {
                surviving[i] = i < forced.length ? forced[i] : 0;
            }
        }
        return surviving;
    }

    /** Returns the directory after a process kill: all writes survive in the operating system. */
    public synchronized VolatileDirectory afterProcessKill() {
        return withContents(contents());
    }

    /** Returns copies of all files as they were written. */
    public synchronized Map<String, byte[]> contents() {
        Map<String, byte[]> copies = new TreeMap<>();
        files.forEach((name, contents) -> copies.put(name, contents.written.clone()));
        return copies;
    }

    /** Returns a fault that fails an operation each time. */
    public static Fault failOn(String operation, String message) {
        return (each, name) -> {
            if (each.equals(operation)) {
                throw new IOException(message);
            }
        };
    }

    /** Returns a fault that blocks an operation until the latch opens. */
    public static Fault stallOn(String operation, CountDownLatch released) {
        return (each, name) -> {
            if (!each.equals(operation)) {
                return;
            }
            try {
                released.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        };
    }

    @Override
    public synchronized Closeable acquireLock() throws IOException {
        if (locked) {
            throw new StoreException("in use");
        }
        locked = true;
        return () -> locked = false;
    }

    @Override
    public synchronized List<String> listFiles() {
        return new ArrayList<>(files.keySet());
    }

    @Override
    public synchronized StorageFile open(String name) throws IOException {
        Contents contents = files.get(name);
        if (contents == null) {
            throw new IOException("file does not exist: " + name);
        }
        return new VolatileFile(name, contents);
    }

    @Override
    public StorageFile create(String name) throws IOException {
        fault.before("create", name);
        synchronized (this) {
            if (files.containsKey(name)) {
                throw new IOException("file already exists: " + name);
            }
            files.put(name, new Contents());
            return open(name);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        fault.before("delete", name);
        synchronized (this) {
            files.remove(name);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        fault.before("rename", from);
        synchronized (this) {
            files.put(to, files.remove(from));
        }
    }

    @Override
    public void forceDirectory() throws IOException {
        fault.before("folder", "");
        synchronized (this) {
            forcedNames = new TreeMap<>(files);
        }
    }

    private final class VolatileFile implements StorageFile {
        private final String name;
        private final Contents contents;

        VolatileFile(String name, Contents contents) {
            this.name = name;
            this.contents = contents;
        }

        @Override
        public void write(ByteBuffer bytes, long position) throws IOException {
            fault.before("write", name);
            synchronized (VolatileDirectory.this) {
                int end = (int) position + bytes.remaining();
                // Always copies, as the forced contents share the array.
                contents.written =
                        Arrays.copyOf(contents.written, Math.max(contents.written.length, end));
                bytes.get(contents.written, (int) position, bytes.remaining());
            }
        }

        @Override
        public int read(ByteBuffer target, long position) throws IOException {
            fault.before("read", name);
            synchronized (VolatileDirectory.this) {
                int available = (int) Math.max(0, contents.written.length - position);
                int length = Math.min(target.remaining(), available);
                target.put(
                        contents.written,
                        (int) Math.min(position, contents.written.length),
                        length);
                return length;
            }
        }

        @Override
        public void force() throws IOException {
            fault.before("force", name);
            synchronized (VolatileDirectory.this) {
                contents.forced = contents.written;
            }
        }

        @Override
        public long size() {
            synchronized (VolatileDirectory.this) {
                return contents.written.length;
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            fault.before("truncate", name);
            synchronized (VolatileDirectory.this) {
                if (size < contents.written.length) {
                    contents.written = Arrays.copyOf(contents.written, (int) size);
                }
            }
        }

        @Override
        public void close() {
            // There is nothing to release.
        }
    }
}
