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
 * Writes the results of an experiment to a folder: metrics as CSV and JSON, charts as SVG, and an
 * HTML page with a table and the charts.
 */
public final class Report {
    /** Metrics of one run by the names of their columns, in column order. */
    public static final Map<String, ToDoubleFunction<SimulationResult>> METRICS = metrics();

    private final Path folder;
    private final Experiment experiment;
    private final List<String> variantNames;
    private final List<Scenario> scenarios;
    private final long firstSeed;
    private final List<String> charts = new ArrayList<>();

    /**
     * Creates a report on an experiment that has been run.
     *
     * @param variantNames names of the variants, in the order of {@code scenarios}
     * @param firstSeed the experiment's first seed
     */
    public Report(
            Path folder,
            Experiment experiment,
            List<String> variantNames,
            List<Scenario> scenarios,
            long firstSeed) {
        this.folder = folder;
        this.experiment = experiment;
        this.variantNames = variantNames;
        this.scenarios = scenarios;
        this.firstSeed = firstSeed;
    }

    private static Map<String, ToDoubleFunction<SimulationResult>> metrics() {
        Map<String, ToDoubleFunction<SimulationResult>> metrics = new LinkedHashMap<>();
        metrics.put("value share", SimulationResult::valueShare);
        metrics.put("loud callers", SimulationResult::heavyCallersValueShare);
        metrics.put("other callers", SimulationResult::otherCallersValueShare);
        metrics.put("worst 10 s", SimulationResult::worstTenSecondsValueShare);
        metrics.put("p50 ms", result -> result.latencyMs(50));
        metrics.put("p99 ms", result -> result.latencyMs(99));
        metrics.put("tries each", SimulationResult::attemptsPerRequest);
        metrics.put("deaths", SimulationResult::serverCrashes);
        metrics.put("broken rules", result -> result.rules().violationCount());
        return metrics;
    }

    /** Writes all files; files of the same names are overwritten. */
    public void write() throws IOException {
        Files.createDirectories(folder);
        writeRunsCsv();
        writeSecondsCsv();
        writeJson();
        addSecondsChart(
                "value",
                "Share of the billed value that was earned",
                second -> second.offered == 0 ? 1 : second.earned / second.offered);
        addSecondsChart(
                "tries",
                "Tries for each that was asked",
                second -> second.requests == 0 ? 0 : (double) second.attempts / second.requests);
        addSamplesChart("held", "Invocations at the boxes", SimulationResult.Sample::attempts);
        addSamplesChart("running", "Runs on cores", SimulationResult.Sample::runningJobs);
        addSamplesChart("boxes", "Boxes that serve", SimulationResult.Sample::servers);
        addSamplesChart(
                "ledger", "Calls at the records service", SimulationResult.Sample::callsInProgress);
        addLatencyChart();
        addVariantCharts();
        writePage();
    }

    /** Adds charts that compare the variants' means, with their confidence intervals. */
    private void addVariantCharts() throws IOException {
        if (variantNames.size() < 2) {
            return;
        }
        for (String name : List.of("value share", "worst 10 s", "p99 ms")) {
            XYChart chart =
                    newChart(
                            name + ", intervals of 95 %, in the order of the table", "variant", "");
            chart.getStyler()
                    .setXAxisMin(0.0)
                    .setXAxisMax((double) variantNames.size() + 1)
                    .setXAxisDecimalPattern("0");
            for (int v = 0; v < variantNames.size(); v++) {
                ConfidenceInterval estimate = experiment.estimate(v, METRICS.get(name));
                chart.addSeries(
                        variantNames.get(v),
                        new double[] {v + 1},
                        new double[] {estimate.mean()},
                        new double[] {
                            Double.isFinite(estimate.halfWidth()) ? estimate.halfWidth() : 0
                        });
            }
            saveChart(chart, "variants-" + name.replace(' ', '-'));
        }
    }

    private void writeRunsCsv() throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add("variant,seed," + String.join(",", METRICS.keySet()));
        for (int v = 0; v < variantNames.size(); v++) {
            for (int i = 0; i < experiment.seedCount(); i++) {
                SimulationResult result = experiment.results(v).get(i);
                StringBuilder line =
                        new StringBuilder(
                                variantNames.get(v).replace(',', ';') + ',' + (firstSeed + i));
                for (ToDoubleFunction<SimulationResult> metric : METRICS.values()) {
                    line.append(',')
                            .append(
                                    String.format(
                                            Locale.ROOT, "%.5f", metric.applyAsDouble(result)));
                }
                lines.add(line.toString());
            }
        }
        Files.write(folder.resolve("runs.csv"), lines);
    }

    private void writeSecondsCsv() throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(
                "variant,second,asked,succeeded,throttled,errored,timed out,tries,offered,earned");
        for (int v = 0; v < variantNames.size(); v++) {
            int seconds = experiment.results(v).get(0).totalsPerSecond().size();
            for (int s = 0; s < seconds; s++) {
                double[] sums = new double[8];
                for (SimulationResult result : experiment.results(v)) {
                    SimulationResult.Totals each = result.totalsPerSecond().get(s);
                    double[] values = {
                        each.requests,
                        each.succeeded,
                        each.throttled,
                        each.errored,
                        each.timedOut,
                        each.attempts,
                        each.offered,
                        each.earned
                    };
                    for (int i = 0; i < sums.length; i++) {
                        sums[i] += values[i] / experiment.seedCount();
                    }
                }
                StringBuilder line =
                        new StringBuilder(variantNames.get(v).replace(',', ';') + ',' + s);
                for (double sum : sums) {
                    line.append(',').append(String.format(Locale.ROOT, "%.3f", sum));
                }
                lines.add(line.toString());
            }
        }
        Files.write(folder.resolve("seconds.csv"), lines);
    }

    private void writeJson() throws IOException {
        ObjectMapper mapper =
                JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("seeds", Map.of("first", firstSeed, "count", experiment.seedCount()));
        String version = Report.class.getPackage().getImplementationVersion();
        root.put("version", version == null ? "unpackaged" : version);
        List<Object> variants = new ArrayList<>();
        for (int v = 0; v < variantNames.size(); v++) {
            Map<String, Object> variant = new LinkedHashMap<>();
            variant.put("name", variantNames.get(v));
            variant.put("script", scenarios.get(v));
            for (Map.Entry<String, ToDoubleFunction<SimulationResult>> metric :
                    METRICS.entrySet()) {
                ConfidenceInterval estimate = experiment.estimate(v, metric.getValue());
                Map<String, Object> value = new LinkedHashMap<>();
                value.put("mean", estimate.mean());
                value.put("half", finiteOrNull(estimate.halfWidth()));
                if (v > 0) {
                    ConfidenceInterval difference = experiment.difference(v, metric.getValue());
                    value.put("difference", difference.mean());
                    value.put("difference half", finiteOrNull(difference.halfWidth()));
                    value.put("chance", experiment.pValue(v, metric.getValue()));
                }
                variant.put(metric.getKey(), value);
            }
            variants.add(variant);
        }
        root.put("variants", variants);
        mapper.writeValue(folder.resolve("report.json").toFile(), root);
    }

    /** Replaces infinity, the interval of a single run, by null: JSON cannot represent it. */
    private static Double finiteOrNull(double value) {
        return Double.isFinite(value) ? value : null;
    }

    private static XYChart newChart(String title, String x, String y) {
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

    private void saveChart(XYChart chart, String name) throws IOException {
        VectorGraphicsEncoder.saveVectorGraphic(
                chart,
                folder.resolve(name).toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        charts.add(name + ".svg");
    }

    private void addSecondsChart(
            String name, String title, ToDoubleFunction<SimulationResult.Totals> valueOf)
            throws IOException {
        XYChart chart =
                newChart(title + ", mean of " + experiment.seedCount() + " seeds", "seconds", "");
        for (int v = 0; v < variantNames.size(); v++) {
            // The last second is incomplete.
            int count = experiment.results(v).get(0).totalsPerSecond().size() - 1;
            double[] x = new double[count];
            double[] y = new double[count];
            for (int s = 0; s < count; s++) {
                x[s] = s;
                for (SimulationResult result : experiment.results(v)) {
                    y[s] +=
                            valueOf.applyAsDouble(result.totalsPerSecond().get(s))
                                    / experiment.seedCount();
                }
            }
            chart.addSeries(variantNames.get(v), x, y).setMarker(SeriesMarkers.NONE);
        }
        saveChart(chart, name);
    }

    private void addSamplesChart(
            String name, String title, ToDoubleFunction<SimulationResult.Sample> valueOf)
            throws IOException {
        XYChart chart =
                newChart(title + ", mean of " + experiment.seedCount() + " seeds", "seconds", "");
        for (int v = 0; v < variantNames.size(); v++) {
            int count = experiment.results(v).get(0).samples().size();
            double[] x = new double[count];
            double[] y = new double[count];
            for (int s = 0; s < count; s++) {
                x[s] = experiment.results(v).get(0).samples().get(s).atSeconds();
                for (SimulationResult result : experiment.results(v)) {
                    y[s] += valueOf.applyAsDouble(result.samples().get(s)) / experiment.seedCount();
                }
            }
            chart.addSeries(variantNames.get(v), x, y).setMarker(SeriesMarkers.NONE);
        }
        saveChart(chart, name);
    }

    private void addLatencyChart() throws IOException {
        XYChart chart =
                newChart(
                        "Time of those that succeeded, all seeds",
                        "ms",
                        "share that took no longer");
        chart.getStyler().setXAxisLogarithmic(true);
        for (int v = 0; v < variantNames.size(); v++) {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (double percent = 1; percent < 100; percent += percent < 99 ? 1 : 0.1) {
                double percentile = percent;
                x.add(
                        Math.max(
                                0.001,
                                experiment
                                        .estimate(v, result -> result.latencyMs(percentile))
                                        .mean()));
                y.add(percent / 100);
            }
            chart.addSeries(variantNames.get(v), x, y).setMarker(SeriesMarkers.NONE);
        }
        saveChart(chart, "times");
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private void writePage() throws IOException {
        StringBuilder page =
                new StringBuilder(
                        "<!doctype html><html lang=\"en\"><meta"
                            + " charset=\"utf-8\"><title>Rehearsal</title><style>body{font:15px"
                            + " sans-serif;max-width:900px;margin:2em auto}td,th{padding:.2em"
                            + " .7em;text-align:right}td:first-child,th:first-child{text-align:left}table{border-collapse:collapse}tr+tr{border-top:1px"
                            + " solid #ccc}.bad{color:#b00}</style>");
        page.append("<h1>")
                .append(escapeHtml(scenarios.get(0).name()))
                .append("</h1><p>Simulated; ")
                .append(experiment.seedCount())
                .append(" seeds from ")
                .append(firstSeed)
                .append(
                        "; means with intervals of 95 %, differences seed by"
                                + " seed.</p><table><tr><th>");
        for (String name : variantNames) {
            page.append("<th>").append(escapeHtml(name));
        }
        page.append("</tr>");
        for (Map.Entry<String, ToDoubleFunction<SimulationResult>> metric : METRICS.entrySet()) {
            page.append("<tr><td>").append(metric.getKey());
            for (int v = 0; v < variantNames.size(); v++) {
                ConfidenceInterval estimate = experiment.estimate(v, metric.getValue());
                page.append("<td>").append(String.format(Locale.ROOT, "%.4g", estimate.mean()));
                if (Double.isFinite(estimate.halfWidth())) {
                    page.append(String.format(Locale.ROOT, " ± %.2g", estimate.halfWidth()));
                }
                if (v == 0) {
                    continue;
                }
                ConfidenceInterval difference = experiment.difference(v, metric.getValue());
                page.append(String.format(Locale.ROOT, "<br>%+.4g", difference.mean()));
                if (Double.isFinite(difference.halfWidth())) {
                    page.append(
                            String.format(
                                    Locale.ROOT,
                                    " ± %.2g, chance %.2g",
                                    difference.halfWidth(),
                                    experiment.pValue(v, metric.getValue())));
                }
            }
            page.append("</tr>");
        }
        page.append("</table>");
        for (int v = 0; v < variantNames.size(); v++) {
            for (int i = 0; i < experiment.seedCount(); i++) {
                for (String message : experiment.results(v).get(i).missedExpectations()) {
                    page.append("<p class=\"bad\">")
                            .append(
                                    escapeHtml(
                                            variantNames.get(v)
                                                    + ", seed "
                                                    + (firstSeed + i)
                                                    + ": "
                                                    + message))
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
