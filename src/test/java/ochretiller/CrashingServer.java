package ochretiller;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import ochretiller.node.Logs;
import ochretiller.node.Node;
import ochretiller.operator.Operator;
import ochretiller.operator.OperatorFile;
import ochretiller.store.Disk;
import ochretiller.store.RealDisk;

/**
 * The packaged server on a disk that ends the process at a scripted operation, as SIGKILL would:
 * {@code WHAT:N} is the Nth of {@code before-write}, {@code after-write}, {@code after-force} of
 * records, of {@code create}, {@code rename} or {@code truncate}.
 */
final class CrashingServer {
    private static final int SEGMENT_HEADER = 72;

    private CrashingServer() {}

    public static void main(String[] words) throws Exception {
        Logs.install();
        Operator operator = OperatorFile.read(Path.of(words[2]));
        String[] point = words[0].split(":");
        Node node =
                new Node(
                        Path.of(words[1]),
                        operator,
                        new Crashing(
                                new RealDisk(operator.remember().orElseThrow().folder()),
                                point[0],
                                Integer.parseInt(point[1])));
        node.prepare();
        node.listen();
        node.run();
    }

    private static final class Crashing implements Disk {
        private final Disk disk;
        private final String point;
        private int left;

        Crashing(Disk disk, String point, int left) {
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
        public Closeable lock() throws IOException {
            return disk.lock();
        }

        @Override
        public List<String> list() throws IOException {
            return disk.list();
        }

        @Override
        public File open(String name) throws IOException {
            return new Watched(disk.open(name));
        }

        @Override
        public File create(String name) throws IOException {
            File made = new Watched(disk.create(name));
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
        public void forceFolder() throws IOException {
            disk.forceFolder();
        }

        private final class Watched implements File {
            private final File file;
            private boolean records;

            Watched(File file) {
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
