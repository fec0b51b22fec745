package ochretiller.tools;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Keys that pour in ten times faster than they age: what the server takes must stay level, and all
 * throttles are unrun.
 */
final class FloodBench {
    /**
     * Entries that fit, and the window that they stay for: a tenth of the rate below is what ages
     * out a second.
     */
    private static final int ENTRIES = 800;

    private static final double PER_SECOND = 500;

    private final int seconds;

    FloodBench(int seconds) {
        this.seconds = seconds;
    }

    void run() throws Exception {
        Path folder = Files.createTempDirectory(Path.of("target").toAbsolutePath(), "flood");
        Path store = folder.resolve("store");
        Path operator = folder.resolve("operator.json5");
        Files.writeString(
                operator,
                "{ remember: { folder: '"
                        + store
                        + "', most_entries: "
                        + ENTRIES
                        + ", most_mb: 4 } }");
        ResultTable table =
                new ResultTable(
                        "remember-flood",
                        "seconds",
                        "resident MB",
                        "files",
                        "descriptors",
                        "store KB",
                        "succeeded",
                        "throttled",
                        "errored");
        List<double[]> memory = new ArrayList<>();
        List<double[]> bytes = new ArrayList<>();
        try (MeasuredServer served = new MeasuredServer(operator, json -> json)) {
            long start = System.nanoTime();
            int step = Math.max(5, seconds / 40);
            LoadGenerator load = new LoadGenerator(served.port, 4, 1);
            for (int at = step; at <= seconds; at += step) {
                load.send(PER_SECOND, step, 1);
                long size = 0;
                long files = 0;
                try (Stream<Path> all = Files.list(store)) {
                    for (Path file : all.toList()) {
                        files++;
                        if (Files.exists(file)) {
                            size += Files.size(file);
                        }
                    }
                }
                double now = (System.nanoTime() - start) / 1e9;
                table.row(
                        now,
                        served.residentKb() / 1024.0,
                        files,
                        served.descriptors(),
                        size / 1024,
                        load.succeeded.sum(),
                        load.throttled.sum(),
                        load.errored.sum());
                memory.add(new double[] {now, served.residentKb() / 1024.0});
                bytes.add(new double[] {now, size / 1024.0 / 10});
            }
            load.close();
        }
        table.keep();
        Charts.lines(
                "remember-flood",
                "New keys at ten times what ages out (own bench)",
                "seconds",
                "",
                false,
                Map.of("resident MB", memory, "store, 10 KB", bytes));
    }
}
