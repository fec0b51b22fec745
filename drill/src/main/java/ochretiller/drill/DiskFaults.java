package ochretiller.drill;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Folders that are copied, emptied and cut off behind a server's back. */
final class DiskFaults {
    /** Bytes that are lost at the end of a disk that is cut: some records. */
    private static final long CUT = 700;

    /** A folder that changes while it is copied is copied again, so often. */
    private static final int TRIES = 5;

    private DiskFaults() {}

    static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
    }

    static void copy(Path from, Path to) throws IOException {
        for (int tries = 0; ; tries++) {
            try {
                Files.createDirectories(to);
                // Later files are written later: the oldest first, so that the copy is how the disk
                // was at some moment before its end.
                for (Path each : files(from)) {
                    if (!each.getFileName().toString().equals("LOCK")) {
                        Files.copy(each, to.resolve(each.getFileName()));
                    }
                }
                return;
            } catch (NoSuchFileException | UncheckedIOException e) {
                if (tries == TRIES) {
                    throw e; // a file was dropped meanwhile
                }
                delete(to);
            }
        }
    }

    /** Takes the last bytes of the newest file that has any records. */
    static void cut(Path folder) throws IOException {
        List<Path> logs =
                files(folder).stream().filter(each -> each.toString().endsWith(".log")).toList();
        for (int i = logs.size() - 1; i >= 0; i--) {
            long size = Files.size(logs.get(i));
            // What a hint tells of a file that is cut is no use: the start reads the file itself.
            Files.deleteIfExists(Path.of(logs.get(i).toString().replace(".log", ".hint")));
            if (size < 2 * CUT) {
                Files.delete(logs.get(i));
                continue;
            }
            try (FileChannel file = FileChannel.open(logs.get(i), StandardOpenOption.WRITE)) {
                file.truncate(size - CUT);
            }
            return;
        }
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.sorted().toList();
        }
    }
}
