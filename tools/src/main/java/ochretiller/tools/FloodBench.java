package ochretiller.tools;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Sends new keys ten times faster than old ones expire: the memory, files and descriptors of the
 * server must stay level, and throttled requests must not have run.
 */
final class FloodBench {
    /**
     * Limit of stored entries. With their idempotency window, it lets a tenth of {@link
     * #KEYS_PER_SECOND} expire each second.
     */
    private static final int MAX_ENTRIES = 800;

    private static final double KEYS_PER_SECOND = 500;

    private final int seconds;

    FloodBench(int seconds) {
        this.seconds = seconds;
    }

    void run() throws Exception {
        Path folder = Files.createTempDirectory(Path.of("target").toAbsolutePath(), "flood");
        Path store = folder.resolve("store");
        Path operatorFile = folder.resolve("operator.json5");
        Files.writeString(
                operatorFile,
                "{ remember: { folder: '"
                        + store
                        + "', most_entries: "
                        + MAX_ENTRIES
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
        List<double[]> storeSize = new ArrayList<>();
        try (MeasuredServer server = new MeasuredServer(operatorFile, json -> json)) {
            long start = System.nanoTime();
            int stepSeconds = Math.max(5, seconds / 40);
            LoadGenerator load = new LoadGenerator(server.port, 4, 1);
            for (int at = stepSeconds; at <= seconds; at += stepSeconds) {
                load.send(KEYS_PER_SECOND, stepSeconds, 1);
                long bytes = 0;
                long fileCount = 0;
                try (Stream<Path> files = Files.list(store)) {
                    for (Path file : files.toList()) {
                        fileCount++;
                        if (Files.exists(file)) {
                            bytes += Files.size(file);
                        }
                    }
                }
                double elapsed = (System.nanoTime() - start) / 1e9;
                table.addRow(
                        elapsed,
                        server.residentKb() / 1024.0,
                        fileCount,
                        server.openDescriptors(),
                        bytes / 1024,
                        load.succeededRequests.sum(),
                        load.throttledRequests.sum(),
                        load.erroredRequests.sum());
                memory.add(new double[] {elapsed, server.residentKb() / 1024.0});
                storeSize.add(new double[] {elapsed, bytes / 1024.0 / 10});
            }
            load.close();
        }
        table.save();
        Charts.saveLineChart(
                "remember-flood",
                "New keys at ten times what ages out (own bench)",
                "seconds",
                "",
                false,
                Map.of("resident MB", memory, "store, 10 KB", storeSize));
    }
}
