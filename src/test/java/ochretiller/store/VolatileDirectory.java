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
 * A directory in memory that loses unforced writes at a power loss, as far as a seed says, and that
 * stalls and fails on demand. Safe for any thread.
 */
public final class VolatileDirectory implements StorageDirectory {
    /** A fault that does nothing. */
    public static final Fault NO_FAULT = (operation, name) -> {};

    /** Unforced bytes are kept or lost in pages of this size. */
    private static final int PAGE_BYTES = 64;

    /** Applied before each operation; replaced by tests while the store is running. */
    public volatile Fault fault = NO_FAULT;

    private final Map<String, Contents> files = new TreeMap<>();

    /** The names as they were when the directory was last forced. */
    private Map<String, Contents> forcedNames = new TreeMap<>();

    private boolean locked;

    /** What a test does to an operation before it is carried out: nothing, wait, or fail it. */
    @FunctionalInterface
    public interface Fault {
        /**
         * An operation is about to be carried out.
         *
         * @param operation {@code read}, {@code write}, {@code force}, {@code truncate}, {@code
         *     create}, {@code delete}, {@code rename} or {@code folder}, which forces the directory
         * @param name of the file, empty for {@code folder}
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

    /** A directory with these files, all of them forced. */
    public static VolatileDirectory withContents(Map<String, byte[]> contents) {
        VolatileDirectory directory = new VolatileDirectory();
        contents.forEach(
                (name, bytes) -> directory.files.put(name, Contents.durable(bytes.clone())));
        directory.forcedNames = new TreeMap<>(directory.files);
        return directory;
    }

    /** What a power loss leaves: unforced pages and unforced names come through by chance. */
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
        int how = random.nextInt(3);
        if (how == 0) {
            return forced.clone();
        }
        if (written.length < forced.length) {
            return random.nextBoolean() ? written.clone() : forced.clone();
        }
        int length = forced.length + random.nextInt(written.length - forced.length + 1);
        byte[] left = Arrays.copyOf(written, length);
        for (int page = 0; page < length; page += PAGE_BYTES) {
            // Reordered: a later page may have come through without the one before it.
            boolean isLost = how == 2 && random.nextInt(4) == 0;
            int end = isLost ? Math.min(page + PAGE_BYTES, length) : page;
            for (int i = page; i < end; i++) {
                left[i] = i < forced.length ? forced[i] : 0;
            }
        }
        return left;
    }

    /** What a killed process leaves: the operating system has all that was written. */
    public synchronized VolatileDirectory afterProcessKill() {
        return withContents(contents());
    }

    /** Copies of all files as they were written. */
    public synchronized Map<String, byte[]> contents() {
        Map<String, byte[]> copies = new TreeMap<>();
        files.forEach((name, contents) -> copies.put(name, contents.written.clone()));
        return copies;
    }

    /** Fails an operation each time. */
    public static Fault failing(String operation, String message) {
        return (each, name) -> {
            if (each.equals(operation)) {
                throw new IOException(message);
            }
        };
    }

    /** Holds an operation up until the latch is open. */
    public static Fault stalling(String operation, CountDownLatch released) {
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
            throw new IOException("no file " + name);
        }
        return new VolatileFile(name, contents);
    }

    @Override
    public StorageFile create(String name) throws IOException {
        fault.before("create", name);
        synchronized (this) {
            if (files.containsKey(name)) {
                throw new IOException("there is a file " + name);
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
                // A copy in any case: what was forced shares its bytes.
                contents.written =
                        Arrays.copyOf(contents.written, Math.max(contents.written.length, end));
                bytes.get(contents.written, (int) position, bytes.remaining());
            }
        }

        @Override
        public int read(ByteBuffer into, long position) throws IOException {
            fault.before("read", name);
            synchronized (VolatileDirectory.this) {
                int available = (int) Math.max(0, contents.written.length - position);
                int length = Math.min(into.remaining(), available);
                into.put(
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
            // Nothing is held.
        }
    }
}
