package ochretiller.emulator.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;

/**
 * Measures the cost of replication by fleet size, and how long the ranges lag after a third of the
 * servers has restarted with empty disks.
 */
public final class ReplicationMeasurement {
    /** Keyed invocations per server and second. */
    private static final int INVOCATIONS_PER_SERVER_PER_S = 5;

    private static final double FORMATION_S = 6;
    private static final int IDLE_START_S = 4;
    private static final int KILL_S = 16;
    private static final int RESTART_DELAY_S = 2;
    private static final double END_S = 40;

    private final Path folder;

    public ReplicationMeasurement(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    private static FleetScenario scenario(int members) {
        FleetScenario.Incident killThird =
                new FleetScenario.Incident(KILL_S, RESTART_DELAY_S, "kill", "1/3", "", "", 1);
        // A delay of zero has no effect; it extends the load until well after the restart.
        FleetScenario.Incident loadExtension =
                new FleetScenario.Incident(END_S, 0.1, "delay", "", "1", "1", 0);
        return new FleetScenario(
                "third",
                60,
                members,
                3,
                3,
                1,
                100,
                0.3,
                0.3,
                true,
                true,
                new FleetScenario.Load(0, 0),
                List.of(killThird, loadExtension),
                FleetScenario.Expect.UNBOUNDED);
    }

    public void write(List<Integer> sizes, Consumer<String> progress) throws IOException {
        StringBuilder csv =
                new StringBuilder(
                        "servers,keepers,packets a server a second,bytes a server a second,most"
                            + " packets of one in a calm second,whole again s,most packets of one"
                            + " in a second meanwhile,most bytes of one in a second"
                            + " meanwhile,throttled share,second runs,rules broken\n");
        XYChart chart =
                new XYChartBuilder()
                        .width(820)
                        .height(380)
                        .title("A third comes back empty at 18 s: ranges that are not whole")
                        .xAxisTitle("seconds")
                        .yAxisTitle("share of the most")
                        .build();
        chart.getStyler()
                .setLegendPosition(Styler.LegendPosition.OutsideS)
                .setLegendLayout(Styler.LegendLayout.Horizontal)
                .setMarkerSize(0);
        for (int size : sizes) {
            ReplicationSimulation simulation =
                    new ReplicationSimulation(scenario(size), 1, 1, 0, false, true)
                            .withFormedFleet();
            ReplicationSimulation.TrafficCounts traffic = simulation.recordTraffic();
            ReplicationSimulation.Outcomes outcomes =
                    simulation.run(
                            (int) (INVOCATIONS_PER_SERVER_PER_S * size * (END_S + 8)), FORMATION_S);
            double[] packets = traffic.meanAndMaxPerServer(0, IDLE_START_S, KILL_S, size);
            double[] bytes = traffic.meanAndMaxPerServer(1, IDLE_START_S, KILL_S, size);
            double recoveryS =
                    traffic.laggingTimesS.stream()
                            .filter(at -> at > KILL_S + RESTART_DELAY_S)
                            .mapToDouble(at -> at - KILL_S - RESTART_DELAY_S)
                            .max()
                            .orElse(0);
            double[] packetsAfterKill = traffic.meanAndMaxPerServer(0, KILL_S, (int) END_S, size);
            double[] bytesAfterKill = traffic.meanAndMaxPerServer(1, KILL_S, (int) END_S, size);
            String row =
                    String.format(
                            Locale.ROOT,
                            "%d,%d,%.1f,%.0f,%.0f,%.2f,%.0f,%.0f,%.4f,%d,%d",
                            size,
                            simulation.latestPlacement().orElseThrow().servers().size(),
                            packets[0],
                            bytes[0],
                            packets[1],
                            recoveryS,
                            packetsAfterKill[1],
                            bytesAfterKill[1],
                            (double) outcomes.throttled / outcomes.attempts,
                            outcomes.excusedReruns,
                            outcomes.violations.size());
            csv.append(row).append('\n');
            progress.accept(row);
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            double maxLaggingRanges =
                    traffic.laggingSamples.stream().mapToDouble(each -> each[1]).max().orElse(1);
            for (double[] each : traffic.laggingSamples) {
                if (each[0] < KILL_S || each[0] > KILL_S + RESTART_DELAY_S + 15) {
                    continue;
                }
                x.add(each[0]);
                y.add(each[1] / Math.max(1, maxLaggingRanges));
            }
            chart.addSeries(size + " servers", x, y);
        }
        Files.writeString(folder.resolve("copies-sizes.csv"), csv.toString());
        VectorGraphicsEncoder.saveVectorGraphic(
                chart,
                folder.resolve("copies-whole-again").toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }
}
