package ochretiller.tools;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Draws charts, all in the same plain style. */
final class Charts {
    private Charts() {}

    /** Saves an SVG with one line for each series, which is a label and its {x, y} points. */
    static void saveLineChart(
            String fileName,
            String title,
            String xTitle,
            String yTitle,
            boolean logarithmic,
            Map<String, List<double[]>> series)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(760)
                        .height(440)
                        .title(title)
                        .xAxisTitle(xTitle)
                        .yAxisTitle(yTitle)
                        .build();
        chart.getStyler()
                .setXAxisLogarithmic(logarithmic)
                .setYAxisLogarithmic(logarithmic)
                .setMarkerSize(5);
        series.forEach(
                (label, points) ->
                        chart.addSeries(
                                label,
                                points.stream().mapToDouble(point -> point[0]).toArray(),
                                points.stream().mapToDouble(point -> point[1]).toArray()));
        VectorGraphicsEncoder.saveVectorGraphic(
                chart,
                ToolsCommand.FIGURES_DIRECTORY.resolve(fileName).toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }
}
