package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one case: what was sent, answered and run, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedNanos = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void add(String line) {
        out.printf("%8.1f ms  %s%n", (System.nanoTime() - startedNanos) / 1e6, line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
