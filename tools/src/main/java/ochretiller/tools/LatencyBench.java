package ochretiller.tools;

import java.nio.file.Files;
import java.nio.file.Path;
import org.HdrHistogram.Histogram;

/** Measures latency under the same load, once with results remembered and once without. */
final class LatencyBench {
    private final int seconds;
    private final int rounds;

    LatencyBench(int seconds, int rounds) {
        this.seconds = seconds;
        this.rounds = rounds;
    }

    /**
     * Returns the full load in requests a second, at most 1500: what the server completes when it
     * is offered 2000 a second. Only the run limit of two cores bounds the fake processor.
     */
    private double measureFullLoad(Path operatorFile) throws Exception {
        try (MeasuredServer server = new MeasuredServer(operatorFile, json -> json)) {
            LoadGenerator load = new LoadGenerator(server.port, 4, 1);
            load.send(2_000, 3, 0.5);
            load.close();
            return Math.min(1_500, load.succeededRequests.sum() / 3.0);
        }
    }

    void run() throws Exception {
        Path folder = Files.createTempDirectory(Path.of("target").toAbsolutePath(), "latency");
        Path operatorFile = folder.resolve("operator.json5");
        Files.writeString(
                operatorFile, "{ remember: { folder: '" + folder.resolve("store") + "' } }");
        double fullLoad = measureFullLoad(null);
        ResultTable table =
                new ResultTable(
                        "remember-latency",
                        "load",
                        "remembered",
                        "kind",
                        "p50 ms",
                        "p99 ms",
                        "p99.9 ms",
                        "succeeded",
                        "throttled",
                        "errored");
        for (double share : new double[] {0.5, 1.0}) {
            for (boolean remembered : new boolean[] {false, true}) {
                Histogram keyed = new Histogram(3);
                Histogram reads = new Histogram(3);
                long[] counts = new long[3];
                for (int round = 0; round < rounds; round++) {
                    try (MeasuredServer server =
                            new MeasuredServer(remembered ? operatorFile : null, json -> json)) {
                        LoadGenerator warmUp = new LoadGenerator(server.port, 4, 100 + round);
                        warmUp.send(fullLoad * share / 2, 2, 0.5);
                        warmUp.close();
                        LoadGenerator load = new LoadGenerator(server.port, 4, round);
                        load.send(fullLoad * share, seconds, 0.5);
                        load.close();
                        keyed.add(load.keyedLatencyMicros);
                        reads.add(load.readLatencyMicros);
                        counts[0] += load.succeededRequests.sum();
                        counts[1] += load.throttledRequests.sum();
                        counts[2] += load.erroredRequests.sum();
                    }
                }
                for (boolean isKeyed : new boolean[] {true, false}) {
                    Histogram latencies = isKeyed ? keyed : reads;
                    table.addRow(
                            share,
                            remembered ? "on" : "off",
                            isKeyed ? "keyed" : "idempotent",
                            latencies.getValueAtPercentile(50) / 1e3,
                            latencies.getValueAtPercentile(99) / 1e3,
                            latencies.getValueAtPercentile(99.9) / 1e3,
                            counts[0],
                            counts[1],
                            counts[2]);
                }
            }
        }
        table.save();
    }
}
