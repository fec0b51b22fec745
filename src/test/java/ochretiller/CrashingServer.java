package ochretiller;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import ochretiller.node.LoggingSetup;
import ochretiller.node.ServerNode;
import ochretiller.operator.OperatorConfig;
import ochretiller.operator.OperatorConfigReader;
import ochretiller.store.LocalDirectory;
import ochretiller.store.StorageDirectory;
import ochretiller.store.StorageFile;

/**
 * The packaged server on a disk that ends the process at a scripted operation, as SIGKILL would:
 * {@code WHAT:N} is the Nth of {@code before-write}, {@code after-write}, {@code after-force} of
 * records, of {@code create}, {@code rename} or {@code truncate}.
 */
final class CrashingServer {
    private static final int SEGMENT_HEADER = 72;

    private CrashingServer() {}

    public static void main(String[] words) throws Exception {
        LoggingSetup.install();
        OperatorConfig operator = OperatorConfigReader.read(Path.of(words[2]));
        String[] point = words[0].split(":");
        StorageDirectory directory = new LocalDirectory(operator.remember().orElseThrow().folder());
        ServerNode node =
                ServerNode.builder(Path.of(words[1]))
                        .operator(operator)
                        .storage(new Crashing(directory, point[0], Integer.parseInt(point[1])))
                        .build();
        node.prepare();
        node.listen();
        node.run();
    }

    private static final class Crashing implements StorageDirectory {
        private final StorageDirectory disk;
        private final String point;
        private int left;

        Crashing(StorageDirectory disk, String point, int left) {
            this.disk = disk;
            this.point = point;
            this.left = left;
        }

        private void at(String operation) {
            if (operation.equals(point) && --left == 0) {
                Runtime.getRuntime().halt(137);
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
            return new Watched(disk.open(name));
        }

        @Override
        public StorageFile create(String name) throws IOException {
            StorageFile made = new Watched(disk.create(name));
            at("create");
            return made;
        }

        @Override
        public void delete(String name) throws IOException {
            disk.delete(name);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            at("rename");
            disk.rename(from, to);
        }

        @Override
        public void forceDirectory() throws IOException {
            disk.forceDirectory();
        }

        private final class Watched implements StorageFile {
            private final StorageFile file;
            private boolean records;

            Watched(StorageFile file) {
                this.file = file;
            }

            @Override
            public void write(ByteBuffer bytes, long at) throws IOException {
                records = at >= SEGMENT_HEADER;
                if (records) {
                    at("before-write");
                }
                file.write(bytes, at);
                if (records) {
                    at("after-write");
                }
            }

            @Override
            public void force() throws IOException {
                file.force();
                if (records) {
                    at("after-force");
                }
            }

            @Override
            public int read(ByteBuffer into, long at) throws IOException {
                return file.read(into, at);
            }

            @Override
            public long size() throws IOException {
                return file.size();
            }

            @Override
            public void truncate(long size) throws IOException {
                file.truncate(size);
                at("truncate");
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        }
    }
}
