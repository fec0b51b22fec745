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

/** Copies, deletes and truncates the store folders of servers. */
final class DiskFaults {
    /** Bytes removed from the end of a store: a few records. */
    private static final long TRUNCATED_BYTES = 700;

    /** Retries of a copy that failed because a file was deleted meanwhile. */
    private static final int MAX_COPY_RETRIES = 5;

    private DiskFaults() {}

    static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    static void copy(Path from, Path to) throws IOException {
        for (int retries = 0; ; retries++) {
            try {
                Files.createDirectories(to);
                // Copies the oldest file first, as only newer files are still written to: the
                // result is a state that the disk had before the copy ended.
                for (Path file : files(from)) {
                    if (!file.getFileName().toString().equals("LOCK")) {
                        Files.copy(file, to.resolve(file.getFileName()));
                    }
                }
                return;
            } catch (NoSuchFileException | UncheckedIOException e) {
                if (retries == MAX_COPY_RETRIES) {
                    throw e; // files were deleted during each attempt
                }
                delete(to);
            }
        }
    }

    /** Truncates the newest log file that is large enough and deletes shorter, newer ones. */
    static void truncate(Path folder) throws IOException {
        List<Path> logs =
                files(folder).stream().filter(file -> file.toString().endsWith(".log")).toList();
        for (int i = logs.size() - 1; i >= 0; i--) {
            long size = Files.size(logs.get(i));
            // The hint does not match a truncated file; without it the server reads the log.
            Files.deleteIfExists(Path.of(logs.get(i).toString().replace(".log", ".hint")));
            if (size < 2 * TRUNCATED_BYTES) {
                Files.delete(logs.get(i));
                continue;
            }
            try (FileChannel file = FileChannel.open(logs.get(i), StandardOpenOption.WRITE)) {
                file.truncate(size - TRUNCATED_BYTES);
            }
            return;
        }
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> entries = Files.list(folder)) {
            return entries.sorted().toList();
        }
    }
}
