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
 * What copies cost by the size of the fleet, and how long it takes until all ranges are whole when
 * a third comes back empty.
 */
public final class ReplicationMeasurement {
    /** Tokened invocations of each server in a second. */
    private static final int LOAD = 5;

    private static final double FORMS_S = 6;
    private static final int CALM_FROM_S = 4;
    private static final int DIES_S = 16;
    private static final int BACK_S = 2;
    private static final double ENDS_S = 40;

    private final Path folder;

    public ReplicationMeasurement(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    private static FleetScenario script(int members) {
        FleetScenario.Incident third =
                new FleetScenario.Incident(DIES_S, BACK_S, "kill", "1/3", "", "", 1);
        // One that changes nothing, so that there is load until long behind the return.
        FleetScenario.Incident last =
                new FleetScenario.Incident(ENDS_S, 0.1, "delay", "", "1", "1", 0);
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
                List.of(third, last),
                FleetScenario.Expect.NOTHING);
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
            ReplicationSimulation world =
                    new ReplicationSimulation(script(size), 1, 1, 0, false, true).formed();
            ReplicationSimulation.Counts counts = world.counting();
            ReplicationSimulation.Outcomes outcomes =
                    world.play((int) (LOAD * size * (ENDS_S + 8)), FORMS_S);
            double[] packets = counts.each(0, CALM_FROM_S, DIES_S, size);
            double[] bytes = counts.each(1, CALM_FROM_S, DIES_S, size);
            double whole =
                    counts.behindAt.stream()
                            .filter(at -> at > DIES_S + BACK_S)
                            .mapToDouble(at -> at - DIES_S - BACK_S)
                            .max()
                            .orElse(0);
            double[] back = counts.each(0, DIES_S, (int) ENDS_S, size);
            double[] backBytes = counts.each(1, DIES_S, (int) ENDS_S, size);
            String row =
                    String.format(
                            Locale.ROOT,
                            "%d,%d,%.1f,%.0f,%.0f,%.2f,%.0f,%.0f,%.4f,%d,%d",
                            size,
                            world.layout().orElseThrow().servers().size(),
                            packets[0],
                            bytes[0],
                            packets[1],
                            whole,
                            back[1],
                            backBytes[1],
                            (double) outcomes.throttled / outcomes.tries,
                            outcomes.excused,
                            outcomes.broken.size());
            csv.append(row).append('\n');
            progress.accept(row);
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            double most = counts.behind.stream().mapToDouble(each -> each[1]).max().orElse(1);
            for (double[] each : counts.behind) {
                if (each[0] < DIES_S || each[0] > DIES_S + BACK_S + 15) {
                    continue;
                }
                x.add(each[0]);
                y.add(each[1] / Math.max(1, most));
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
