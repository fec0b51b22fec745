package ochretiller.commands;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import ochretiller.audit.TimelineInterval;
import ochretiller.audit.VersionStatus;

/**
 * Draws servers' timelines as an HTML page with an SVG chart: one lane for each server and one
 * colour for each version. Intervals with an unknown version are hatched.
 */
final class VersionTimelineChart {
    private static final int WIDTH_PX = 900;
    private static final int LABEL_WIDTH_PX = 140;
    private static final int LANE_HEIGHT_PX = 26;
    private static final int TOP_MARGIN_PX = 30;

    private VersionTimelineChart() {}

    private static String versionColour(long version) {
        return version == 0
                ? "#b0b0b0"
                : String.format(
                        Locale.ROOT,
                        "hsl(%d,55%%,%d%%)",
                        version * 137 % 360,
                        45 + version % 3 * 10);
    }

    private static String escape(String value) {
        return value.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    static String toHtml(List<TimelineInterval> intervals, long fromMillis, long untilMillis) {
        Set<String> servers = new LinkedHashSet<>();
        Set<Long> versions = new TreeSet<>();
        for (TimelineInterval interval : intervals) {
            servers.add(interval.server());
            if (interval.status() != VersionStatus.UNKNOWN) {
                versions.add(interval.version());
            }
        }
        List<String> lanes = new ArrayList<>(servers);
        int height = TOP_MARGIN_PX + LANE_HEIGHT_PX * lanes.size() + 60;
        double pixelsPerMilli =
                (double) (WIDTH_PX - LABEL_WIDTH_PX - 10) / Math.max(1, untilMillis - fromMillis);
        StringBuilder svg =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\""
                                    + " height=\"%d\" font-family=\"sans-serif\""
                                    + " font-size=\"12\"><defs><pattern id=\"unknown\" width=\"6\""
                                    + " height=\"6\" patternUnits=\"userSpaceOnUse\"><path d=\"M0"
                                    + " 6L6 0\" stroke=\"#c00\""
                                    + " stroke-width=\"1\"/></pattern></defs>%n",
                                WIDTH_PX,
                                height));
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<text x=\"%d\" y=\"18\">%s</text><text x=\"%d\" y=\"18\""
                                + " text-anchor=\"end\">%s</text>%n",
                        LABEL_WIDTH_PX,
                        Instant.ofEpochMilli(fromMillis),
                        WIDTH_PX - 10,
                        Instant.ofEpochMilli(untilMillis)));
        for (int i = 0; i < lanes.size(); i++) {
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<text x=\"4\" y=\"%d\">%s</text>%n",
                            TOP_MARGIN_PX + LANE_HEIGHT_PX * i + 16,
                            escape(lanes.get(i))));
        }
        for (TimelineInterval interval : intervals) {
            int y = TOP_MARGIN_PX + LANE_HEIGHT_PX * lanes.indexOf(interval.server());
            String fill =
                    interval.status() == VersionStatus.UNKNOWN
                            ? "url(#unknown)"
                            : versionColour(interval.version());
            String label =
                    interval.status() == VersionStatus.UNKNOWN
                            ? "not known"
                            : "version "
                                    + interval.version()
                                    + (interval.status() == VersionStatus.FENCED
                                            ? ", shut out from keyed work"
                                            : "");
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\""
                                    + " fill=\"%s\"%s><title>%s</title></rect>%n",
                            LABEL_WIDTH_PX + (interval.startMillis() - fromMillis) * pixelsPerMilli,
                            y,
                            Math.max(
                                    1,
                                    (interval.endMillis() - interval.startMillis())
                                            * pixelsPerMilli),
                            LANE_HEIGHT_PX - 6,
                            fill,
                            interval.status() == VersionStatus.FENCED
                                    ? " stroke=\"#000\" stroke-width=\"2\" stroke-dasharray=\"3\""
                                    : "",
                            escape(
                                    interval.server()
                                            + ", "
                                            + Instant.ofEpochMilli(interval.startMillis())
                                            + " to "
                                            + Instant.ofEpochMilli(interval.endMillis())
                                            + ": "
                                            + label
                                            + (interval.text().isEmpty()
                                                    ? ""
                                                    : "; " + interval.text()))));
        }
        int x = LABEL_WIDTH_PX;
        int y = TOP_MARGIN_PX + LANE_HEIGHT_PX * lanes.size() + 20;
        for (long version : versions) {
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<rect x=\"%d\" y=\"%d\" width=\"14\" height=\"14\" fill=\"%s\"/><text"
                                    + " x=\"%d\" y=\"%d\">%s</text>%n",
                            x,
                            y,
                            versionColour(version),
                            x + 18,
                            y + 12,
                            version == 0 ? "own files" : "version " + version));
            x += 90;
        }
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<rect x=\"%d\" y=\"%d\" width=\"14\" height=\"14\""
                                + " fill=\"url(#unknown)\"/><text x=\"%d\" y=\"%d\">not"
                                + " known</text>%n</svg>",
                        x,
                        y,
                        x + 18,
                        y + 12));
        return "<!DOCTYPE html>\n"
                + "<html lang=\"en\"><meta charset=\"utf-8\"><title>What servers acted"
                + " on</title>\n"
                + "<h1>What servers acted on</h1>\n"
                + svg
                + "\n</html>\n";
    }
}
