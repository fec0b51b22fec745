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
 * The packaged server on a disk that kills the process at a given operation, as SIGKILL would. The
 * argument {@code POINT:N} selects the Nth {@code before-write}, {@code after-write} or {@code
 * after-force} of records, or the Nth {@code create}, {@code rename} or {@code truncate}.
 */
final class CrashingServer {
    private static final int SEGMENT_HEADER_BYTES = 72;

    private CrashingServer() {}

    public static void main(String[] args) throws Exception {
        LoggingSetup.install();
        OperatorConfig operator = OperatorConfigReader.read(Path.of(args[2]));
        String[] point = args[0].split(":");
        StorageDirectory directory =
                new LocalDirectory(operator.durability().orElseThrow().folder());
        ServerNode node =
                ServerNode.builder(Path.of(args[1]))
                        .operator(operator)
                        .storage(
                                new CrashingDirectory(
                                        directory, point[0], Integer.parseInt(point[1])))
                        .build();
        node.prepare();
        node.listen();
        node.run();
    }

    private static final class CrashingDirectory implements StorageDirectory {
        private final StorageDirectory disk;
        private final String crashPoint;
        private int remaining;

        CrashingDirectory(StorageDirectory disk, String crashPoint, int remaining) {
            this.disk = disk;
            this.crashPoint = crashPoint;
            this.remaining = remaining;
        }

        private void crashIfDue(String operation) {
            if (operation.equals(crashPoint) && --remaining == 0) {
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
            return new CrashingFile(disk.open(name));
        }

        @Override
        public StorageFile create(String name) throws IOException {
            StorageFile created = new CrashingFile(disk.create(name));
            crashIfDue("create");
            return created;
        }

        @Override
        public void delete(String name) throws IOException {
            disk.delete(name);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            crashIfDue("rename");
            disk.rename(from, to);
        }

        @Override
        public void forceDirectory() throws IOException {
            disk.forceDirectory();
        }

        private final class CrashingFile implements StorageFile {
            private final StorageFile file;
            private boolean hasWrittenRecords;

            CrashingFile(StorageFile file) {
                this.file = file;
            }

            @Override
            public void write(ByteBuffer bytes, long position) throws IOException {
                hasWrittenRecords = position >= SEGMENT_HEADER_BYTES;
                if (hasWrittenRecords) {
                    crashIfDue("before-write");
                }
                file.write(bytes, position);
                if (hasWrittenRecords) {
                    crashIfDue("after-write");
                }
            }

            @Override
            public void force() throws IOException {
                file.force();
                if (hasWrittenRecords) {
                    crashIfDue("after-force");
                }
            }

            @Override
            public int read(ByteBuffer into, long position) throws IOException {
                return file.read(into, position);
            }

            @Override
            public long size() throws IOException {
                return file.size();
            }

            @Override
            public void truncate(long size) throws IOException {
                file.truncate(size);
                crashIfDue("truncate");
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        }
    }
}
