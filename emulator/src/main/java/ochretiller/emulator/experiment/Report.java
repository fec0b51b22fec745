package ochretiller.emulator.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.emulator.simulation.SimulationResult;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * A folder with what an experiment shows: figures as CSV and JSON, charts as SVG, a page that holds
 * them together.
 */
public final class Report {
    /** What is told of each variant, by the name of its column. */
    public static final Map<String, ToDoubleFunction<SimulationResult>> FIGURES = figures();

    private final Path folder;
    private final Experiment experiment;
    private final List<String> names;
    private final List<Scenario> scripts;
    private final long firstSeed;
    private final List<String> charts = new ArrayList<>();

    public Report(
            Path folder,
            Experiment experiment,
            List<String> names,
            List<Scenario> scripts,
            long firstSeed) {
        this.folder = folder;
        this.experiment = experiment;
        this.names = names;
        this.scripts = scripts;
        this.firstSeed = firstSeed;
    }

    private static Map<String, ToDoubleFunction<SimulationResult>> figures() {
        Map<String, ToDoubleFunction<SimulationResult>> figures = new LinkedHashMap<>();
        figures.put("value share", SimulationResult::valueShare);
        figures.put("loud callers", SimulationResult::loudShare);
        figures.put("other callers", SimulationResult::othersShare);
        figures.put("worst 10 s", SimulationResult::worstTen);
        figures.put("p50 ms", outcome -> outcome.tookMs(50));
        figures.put("p99 ms", outcome -> outcome.tookMs(99));
        figures.put("tries each", SimulationResult::triesEach);
        figures.put("deaths", SimulationResult::deaths);
        figures.put("broken rules", outcome -> outcome.rules().count());
        return figures;
    }

    public void write() throws IOException {
        Files.createDirectories(folder);
        csv();
        timeLines();
        json();
        timeLineChart(
                "value",
                "Share of the billed value that was earned",
                second -> second.offered == 0 ? 1 : second.earned / second.offered);
        timeLineChart(
                "tries",
                "Tries for each that was asked",
                second -> second.asked == 0 ? 0 : (double) second.tries / second.asked);
        looksChart("held", "Invocations at the boxes", SimulationResult.Look::held);
        looksChart("running", "Runs on cores", SimulationResult.Look::running);
        looksChart("boxes", "Boxes that serve", SimulationResult.Look::boxes);
        looksChart("ledger", "Calls at the records service", SimulationResult.Look::ledger);
        distribution();
        variants();
        page();
    }

    /** The variants beside one another, with their intervals. */
    private void variants() throws IOException {
        if (names.size() < 2) {
            return;
        }
        for (String name : List.of("value share", "worst 10 s", "p99 ms")) {
            XYChart chart =
                    chart(name + ", intervals of 95 %, in the order of the table", "variant", "");
            chart.getStyler()
                    .setXAxisMin(0.0)
                    .setXAxisMax((double) names.size() + 1)
                    .setXAxisDecimalPattern("0");
            for (int v = 0; v < names.size(); v++) {
                ConfidenceInterval estimate = experiment.estimate(v, FIGURES.get(name));
                chart.addSeries(
                        names.get(v),
                        new double[] {v + 1},
                        new double[] {estimate.mean()},
                        new double[] {Double.isFinite(estimate.half()) ? estimate.half() : 0});
            }
            keep(chart, "variants-" + name.replace(' ', '-'));
        }
    }

    private void csv() throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("variant,seed," + String.join(",", FIGURES.keySet()));
        for (int v = 0; v < names.size(); v++) {
            for (int i = 0; i < experiment.seeds(); i++) {
                SimulationResult outcome = experiment.outcomes(v).get(i);
                StringBuilder line =
                        new StringBuilder(names.get(v).replace(',', ';') + ',' + (firstSeed + i));
                for (ToDoubleFunction<SimulationResult> figure : FIGURES.values()) {
                    line.append(',')
                            .append(
                                    String.format(
                                            Locale.ROOT, "%.5f", figure.applyAsDouble(outcome)));
                }
                lines.add(line.toString());
            }
        }
        Files.write(folder.resolve("runs.csv"), lines);
    }

    private void timeLines() throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(
                "variant,second,asked,succeeded,throttled,errored,timed out,tries,offered,earned");
        for (int v = 0; v < names.size(); v++) {
            int seconds = experiment.outcomes(v).get(0).seconds().size();
            for (int s = 0; s < seconds; s++) {
                double[] sums = new double[8];
                for (SimulationResult outcome : experiment.outcomes(v)) {
                    SimulationResult.Second each = outcome.seconds().get(s);
                    double[] values = {
                        each.asked,
                        each.succeeded,
                        each.throttled,
                        each.errored,
                        each.timedOut,
                        each.tries,
                        each.offered,
                        each.earned
                    };
                    for (int i = 0; i < sums.length; i++) {
                        sums[i] += values[i] / experiment.seeds();
                    }
                }
                StringBuilder line = new StringBuilder(names.get(v).replace(',', ';') + ',' + s);
                for (double sum : sums) {
                    line.append(',').append(String.format(Locale.ROOT, "%.3f", sum));
                }
                lines.add(line.toString());
            }
        }
        Files.write(folder.resolve("seconds.csv"), lines);
    }

    private void json() throws IOException {
        ObjectMapper mapper =
                JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();
        Map<String, Object> told = new LinkedHashMap<>();
        told.put("seeds", Map.of("first", firstSeed, "count", experiment.seeds()));
        String version = Report.class.getPackage().getImplementationVersion();
        told.put("version", version == null ? "unpackaged" : version);
        List<Object> variants = new ArrayList<>();
        for (int v = 0; v < names.size(); v++) {
            Map<String, Object> variant = new LinkedHashMap<>();
            variant.put("name", names.get(v));
            variant.put("script", scripts.get(v));
            for (Map.Entry<String, ToDoubleFunction<SimulationResult>> figure :
                    FIGURES.entrySet()) {
                ConfidenceInterval estimate = experiment.estimate(v, figure.getValue());
                Map<String, Object> value = new LinkedHashMap<>();
                value.put("mean", estimate.mean());
                value.put("half", finite(estimate.half()));
                if (v > 0) {
                    ConfidenceInterval difference = experiment.difference(v, figure.getValue());
                    value.put("difference", difference.mean());
                    value.put("difference half", finite(difference.half()));
                    value.put("chance", experiment.chance(v, figure.getValue()));
                }
                variant.put(figure.getKey(), value);
            }
            variants.add(variant);
        }
        told.put("variants", variants);
        mapper.writeValue(folder.resolve("report.json").toFile(), told);
    }

    /** JSON knows no infinity: an interval of one run is none. */
    private static Double finite(double value) {
        return Double.isFinite(value) ? value : null;
    }

    private static XYChart chart(String title, String x, String y) {
        XYChart chart =
                new XYChartBuilder()
                        .width(820)
                        .height(380)
                        .title(title)
                        .xAxisTitle(x)
                        .yAxisTitle(y)
                        .build();
        chart.getStyler()
                .setLegendPosition(Styler.LegendPosition.OutsideS)
                .setLegendLayout(Styler.LegendLayout.Horizontal);
        return chart;
    }

    private void keep(XYChart chart, String name) throws IOException {
        VectorGraphicsEncoder.saveVectorGraphic(
                chart,
                folder.resolve(name).toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        charts.add(name + ".svg");
    }

    private void timeLineChart(
            String name, String title, ToDoubleFunction<SimulationResult.Second> of)
            throws IOException {
        XYChart chart = chart(title + ", mean of " + experiment.seeds() + " seeds", "seconds", "");
        for (int v = 0; v < names.size(); v++) {
            int count =
                    experiment.outcomes(v).get(0).seconds().size() - 1; // the last is a part of one
            double[] x = new double[count];
            double[] y = new double[count];
            for (int s = 0; s < count; s++) {
                x[s] = s;
                for (SimulationResult outcome : experiment.outcomes(v)) {
                    y[s] += of.applyAsDouble(outcome.seconds().get(s)) / experiment.seeds();
                }
            }
            chart.addSeries(names.get(v), x, y).setMarker(SeriesMarkers.NONE);
        }
        keep(chart, name);
    }

    private void looksChart(String name, String title, ToDoubleFunction<SimulationResult.Look> of)
            throws IOException {
        XYChart chart = chart(title + ", mean of " + experiment.seeds() + " seeds", "seconds", "");
        for (int v = 0; v < names.size(); v++) {
            int count = experiment.outcomes(v).get(0).looks().size();
            double[] x = new double[count];
            double[] y = new double[count];
            for (int s = 0; s < count; s++) {
                x[s] = experiment.outcomes(v).get(0).looks().get(s).at();
                for (SimulationResult outcome : experiment.outcomes(v)) {
                    y[s] += of.applyAsDouble(outcome.looks().get(s)) / experiment.seeds();
                }
            }
            chart.addSeries(names.get(v), x, y).setMarker(SeriesMarkers.NONE);
        }
        keep(chart, name);
    }

    private void distribution() throws IOException {
        XYChart chart =
                chart("Time of those that succeeded, all seeds", "ms", "share that took no longer");
        chart.getStyler().setXAxisLogarithmic(true);
        for (int v = 0; v < names.size(); v++) {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (double percent = 1; percent < 100; percent += percent < 99 ? 1 : 0.1) {
                double at = percent;
                x.add(
                        Math.max(
                                0.001,
                                experiment.estimate(v, outcome -> outcome.tookMs(at)).mean()));
                y.add(percent / 100);
            }
            chart.addSeries(names.get(v), x, y).setMarker(SeriesMarkers.NONE);
        }
        keep(chart, "times");
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private void page() throws IOException {
        StringBuilder page =
                new StringBuilder(
                        "<!doctype html><html lang=\"en\"><meta"
                            + " charset=\"utf-8\"><title>Rehearsal</title><style>body{font:15px"
                            + " sans-serif;max-width:900px;margin:2em auto}td,th{padding:.2em"
                            + " .7em;text-align:right}td:first-child,th:first-child{text-align:left}table{border-collapse:collapse}tr+tr{border-top:1px"
                            + " solid #ccc}.bad{color:#b00}</style>");
        page.append("<h1>")
                .append(escaped(scripts.get(0).name()))
                .append("</h1><p>Simulated; ")
                .append(experiment.seeds())
                .append(" seeds from ")
                .append(firstSeed)
                .append(
                        "; means with intervals of 95 %, differences seed by"
                                + " seed.</p><table><tr><th>");
        for (String name : names) {
            page.append("<th>").append(escaped(name));
        }
        page.append("</tr>");
        for (Map.Entry<String, ToDoubleFunction<SimulationResult>> figure : FIGURES.entrySet()) {
            page.append("<tr><td>").append(figure.getKey());
            for (int v = 0; v < names.size(); v++) {
                ConfidenceInterval estimate = experiment.estimate(v, figure.getValue());
                page.append("<td>").append(String.format(Locale.ROOT, "%.4g", estimate.mean()));
                if (Double.isFinite(estimate.half())) {
                    page.append(String.format(Locale.ROOT, " ± %.2g", estimate.half()));
                }
                if (v == 0) {
                    continue;
                }
                ConfidenceInterval difference = experiment.difference(v, figure.getValue());
                page.append(String.format(Locale.ROOT, "<br>%+.4g", difference.mean()));
                if (Double.isFinite(difference.half())) {
                    page.append(
                            String.format(
                                    Locale.ROOT,
                                    " ± %.2g, chance %.2g",
                                    difference.half(),
                                    experiment.chance(v, figure.getValue())));
                }
            }
            page.append("</tr>");
        }
        page.append("</table>");
        for (int v = 0; v < names.size(); v++) {
            for (int i = 0; i < experiment.seeds(); i++) {
                for (String missed : experiment.outcomes(v).get(i).missed()) {
                    page.append("<p class=\"bad\">")
                            .append(
                                    escaped(
                                            names.get(v)
                                                    + ", seed "
                                                    + (firstSeed + i)
                                                    + ": "
                                                    + missed))
                            .append("</p>");
                }
            }
        }
        for (String chart : charts) {
            page.append("<p><img src=\"")
                    .append(chart)
                    .append("\" alt=\"")
                    .append(chart)
                    .append("\"></p>");
        }
        Files.writeString(folder.resolve("report.html"), page.append("</html>\n"));
    }
}
