package ochretiller.tools;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Charts in one plain form. */
final class Charts {
    private Charts() {}

    /** A line for each series: x values and y values of the same length. */
    static void lines(
            String name,
            String title,
            String x,
            String y,
            boolean logarithmic,
            Map<String, List<double[]>> series)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(760)
                        .height(440)
                        .title(title)
                        .xAxisTitle(x)
                        .yAxisTitle(y)
                        .build();
        chart.getStyler()
                .setXAxisLogarithmic(logarithmic)
                .setYAxisLogarithmic(logarithmic)
                .setMarkerSize(5);
        series.forEach(
                (label, points) ->
                        chart.addSeries(
                                label,
                                points.stream().mapToDouble(p -> p[0]).toArray(),
                                points.stream().mapToDouble(p -> p[1]).toArray()));
        VectorGraphicsEncoder.saveVectorGraphic(
                chart,
                ToolsCommand.FIGURES.resolve(name).toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }
}
