package ochretiller.pages;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Reads the Java sources of this repository. Tests run in its root directory. */
final class SourceTree {
    private SourceTree() {}

    /**
     * Returns the contents of all Java files below the given folders.
     *
     * @throws UncheckedIOException if a folder does not exist or cannot be read
     */
    static List<String> texts(String... folders) {
        return Stream.of(folders).flatMap(SourceTree::files).map(SourceTree::text).toList();
    }

    private static Stream<Path> files(String folder) {
        try (Stream<Path> found = Files.walk(Path.of(folder))) {
            return found.filter(file -> file.toString().endsWith(".java")).toList().stream();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot list " + folder, e);
        }
    }

    /**
     * Returns the contents of a file.
     *
     * @throws UncheckedIOException if it cannot be read
     */
    static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + file, e);
        }
    }
}
