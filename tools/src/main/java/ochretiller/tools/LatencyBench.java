package ochretiller.tools;

import java.nio.file.Files;
import java.nio.file.Path;
import org.HdrHistogram.Histogram;

/** The same load on the same server with results remembered and not, in turn. */
final class LatencyBench {
    private final int seconds;
    private final int rounds;

    LatencyBench(int seconds, int rounds) {
        this.seconds = seconds;
        this.rounds = rounds;
    }

    /**
     * Closed: as many a second as come back with sixteen in flight; the run limit of two cores is
     * the stand-in's bound.
     */
    private double full(Path operator) throws Exception {
        try (MeasuredServer served = new MeasuredServer(operator, json -> json)) {
            LoadGenerator load = new LoadGenerator(served.port, 4, 1);
            load.send(2_000, 3, 0.5);
            load.close();
            return Math.min(1_500, load.succeeded.sum() / 3.0);
        }
    }

    void run() throws Exception {
        Path folder = Files.createTempDirectory(Path.of("target").toAbsolutePath(), "latency");
        Path operator = folder.resolve("operator.json5");
        Files.writeString(operator, "{ remember: { folder: '" + folder.resolve("store") + "' } }");
        double full = full(null);
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
                    try (MeasuredServer served =
                            new MeasuredServer(remembered ? operator : null, json -> json)) {
                        LoadGenerator warm = new LoadGenerator(served.port, 4, 100 + round);
                        warm.send(full * share / 2, 2, 0.5);
                        warm.close();
                        LoadGenerator load = new LoadGenerator(served.port, 4, round);
                        load.send(full * share, seconds, 0.5);
                        load.close();
                        keyed.add(load.keyed);
                        reads.add(load.reads);
                        counts[0] += load.succeeded.sum();
                        counts[1] += load.throttled.sum();
                        counts[2] += load.errored.sum();
                    }
                }
                for (boolean isKeyed : new boolean[] {true, false}) {
                    Histogram told = isKeyed ? keyed : reads;
                    table.row(
                            share,
                            remembered ? "on" : "off",
                            isKeyed ? "keyed" : "idempotent",
                            told.getValueAtPercentile(50) / 1e3,
                            told.getValueAtPercentile(99) / 1e3,
                            told.getValueAtPercentile(99.9) / 1e3,
                            counts[0],
                            counts[1],
                            counts[2]);
                }
            }
        }
        table.keep();
    }
}
