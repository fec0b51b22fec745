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
 * A disk in memory that keeps what was forced, and of the rest what a seed lets it; it stalls and
 * fails by script.
 */
public final class VolatileDirectory implements StorageDirectory {
    /** Unforced bytes are kept or lost in pieces of this size. */
    private static final int PAGE = 64;

    /** What a script may do about an operation, before it is carried out. */
    @FunctionalInterface
    public interface Fault {
        void before(String operation, String name) throws IOException;
    }

    private static final class Node {
        byte[] now = {};
        byte[] forced = {};
    }

    private final Map<String, Node> files = new TreeMap<>();

    /** The names as the last forced folder had them. */
    private Map<String, Node> names = new TreeMap<>();

    public volatile Fault fault = (operation, name) -> {};
    private boolean locked;

    /**
     * What stands on the medium behind a power cut: unforced pages come through by chance, and
     * unforced names too.
     */
    public synchronized VolatileDirectory afterPowerLoss(SplittableRandom chance) {
        VolatileDirectory left = new VolatileDirectory();
        Map<String, Node> kept = chance.nextBoolean() ? files : names;
        kept.forEach(
                (name, node) -> {
                    Node copy = new Node();
                    copy.now = copy.forced = half(node, chance);
                    left.files.put(name, copy);
                });
        left.names = new TreeMap<>(left.files);
        return left;
    }

    private static byte[] half(Node node, SplittableRandom chance) {
        int how = chance.nextInt(3);
        if (how == 0) {
            return node.forced.clone();
        }
        if (node.now.length < node.forced.length) {
            return chance.nextBoolean() ? node.now.clone() : node.forced.clone();
        }
        int length = node.forced.length + chance.nextInt(node.now.length - node.forced.length + 1);
        byte[] left = Arrays.copyOf(node.now, length);
        for (int at = 0; at < length; at += PAGE) {
            // reordered: a later page may have come through without the one before it
            boolean lost = how == 2 && chance.nextInt(4) == 0;
            for (int i = at; lost && i < Math.min(at + PAGE, length); i++) {
                left[i] = i < node.forced.length ? node.forced[i] : 0;
            }
        }
        return left;
    }

    /** What a killed process leaves: the system has all that was written. */
    public synchronized VolatileDirectory afterProcessKill() {
        VolatileDirectory left = new VolatileDirectory();
        files.forEach(
                (name, node) -> {
                    Node copy = new Node();
                    copy.now = copy.forced = node.now.clone();
                    left.files.put(name, copy);
                });
        left.names = new TreeMap<>(left.files);
        return left;
    }

    public synchronized Map<String, byte[]> contents() {
        Map<String, byte[]> all = new TreeMap<>();
        files.forEach((name, node) -> all.put(name, node.now.clone()));
        return all;
    }

    public static VolatileDirectory withContents(Map<String, byte[]> contents) {
        VolatileDirectory disk = new VolatileDirectory();
        contents.forEach(
                (name, bytes) -> {
                    Node node = new Node();
                    node.now = node.forced = bytes.clone();
                    disk.files.put(name, node);
                });
        disk.names = new TreeMap<>(disk.files);
        return disk;
    }

    /** A script that fails what matches, as often as it comes. */
    public static Fault failing(String operation, String message) {
        return (what, name) -> {
            if (what.equals(operation)) {
                throw new IOException(message);
            }
        };
    }

    /** A script that holds up what matches until it is let go. */
    public static Fault stalling(String operation, CountDownLatch go) {
        return (what, name) -> {
            if (!what.equals(operation)) {
                return;
            }
            try {
                go.await();
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
        Node node = files.get(name);
        if (node == null) {
            throw new IOException("no file " + name);
        }
        return new Open(name, node);
    }

    @Override
    public StorageFile create(String name) throws IOException {
        fault.before("create", name);
        synchronized (this) {
            if (files.containsKey(name)) {
                throw new IOException("there is a file " + name);
            }
            files.put(name, new Node());
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
            names = new TreeMap<>(files);
        }
    }

    private final class Open implements StorageFile {
        private final String name;
        private final Node node;

        Open(String name, Node node) {
            this.name = name;
            this.node = node;
        }

        @Override
        public void write(ByteBuffer bytes, long at) throws IOException {
            fault.before("write", name);
            synchronized (VolatileDirectory.this) {
                int length = bytes.remaining();
                if (node.now.length < at + length) {
                    node.now = Arrays.copyOf(node.now, (int) at + length);
                } else {
                    node.now = node.now.clone(); // what was forced shares its bytes
                }
                bytes.get(node.now, (int) at, length);
            }
        }

        @Override
        public int read(ByteBuffer into, long at) throws IOException {
            fault.before("read", name);
            synchronized (VolatileDirectory.this) {
                int length = (int) Math.max(0, Math.min(into.remaining(), node.now.length - at));
                into.put(node.now, (int) Math.min(at, node.now.length), length);
                return length;
            }
        }

        @Override
        public void force() throws IOException {
            fault.before("force", name);
            synchronized (VolatileDirectory.this) {
                node.forced = node.now;
            }
        }

        @Override
        public long size() {
            synchronized (VolatileDirectory.this) {
                return node.now.length;
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            fault.before("truncate", name);
            synchronized (VolatileDirectory.this) {
                if (size < node.now.length) {
                    node.now = Arrays.copyOf(node.now, (int) size);
                }
            }
        }

        @Override
        public void close() {
            // nothing is held
        }
    }
}
