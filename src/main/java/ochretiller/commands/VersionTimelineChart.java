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
 * Stretches of servers' time as a page with a drawing: a lane a server, a colour a version, what is
 * not known hatched.
 */
final class VersionTimelineChart {
    private static final int WIDTH = 900;
    private static final int LEFT = 140;
    private static final int LANE = 26;
    private static final int TOP = 30;

    private VersionTimelineChart() {}

    private static String colour(long version) {
        return version == 0
                ? "#b0b0b0"
                : String.format(
                        Locale.ROOT,
                        "hsl(%d,55%%,%d%%)",
                        version * 137 % 360,
                        45 + version % 3 * 10);
    }

    private static String text(String raw) {
        return raw.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    static String page(List<TimelineInterval> all, long fromMs, long untilMs) {
        Set<String> lanes = new LinkedHashSet<>();
        Set<Long> versions = new TreeSet<>();
        for (TimelineInterval each : all) {
            lanes.add(each.server());
            if (each.status() != VersionStatus.UNKNOWN) {
                versions.add(each.version());
            }
        }
        List<String> order = new ArrayList<>(lanes);
        int height = TOP + LANE * order.size() + 60;
        double perMs = (double) (WIDTH - LEFT - 10) / Math.max(1, untilMs - fromMs);
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
                                WIDTH,
                                height));
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<text x=\"%d\" y=\"18\">%s</text><text x=\"%d\" y=\"18\""
                                + " text-anchor=\"end\">%s</text>%n",
                        LEFT,
                        Instant.ofEpochMilli(fromMs),
                        WIDTH - 10,
                        Instant.ofEpochMilli(untilMs)));
        for (int i = 0; i < order.size(); i++) {
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<text x=\"4\" y=\"%d\">%s</text>%n",
                            TOP + LANE * i + 16,
                            text(order.get(i))));
        }
        for (TimelineInterval each : all) {
            int y = TOP + LANE * order.indexOf(each.server());
            String fill =
                    each.status() == VersionStatus.UNKNOWN
                            ? "url(#unknown)"
                            : colour(each.version());
            String what =
                    each.status() == VersionStatus.UNKNOWN
                            ? "not known"
                            : "version "
                                    + each.version()
                                    + (each.status() == VersionStatus.FENCED
                                            ? ", shut out from keyed work"
                                            : "");
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\""
                                    + " fill=\"%s\"%s><title>%s</title></rect>%n",
                            LEFT + (each.startMillis() - fromMs) * perMs,
                            y,
                            Math.max(1, (each.endMillis() - each.startMillis()) * perMs),
                            LANE - 6,
                            fill,
                            each.status() == VersionStatus.FENCED
                                    ? " stroke=\"#000\" stroke-width=\"2\" stroke-dasharray=\"3\""
                                    : "",
                            text(
                                    each.server()
                                            + ", "
                                            + Instant.ofEpochMilli(each.startMillis())
                                            + " to "
                                            + Instant.ofEpochMilli(each.endMillis())
                                            + ": "
                                            + what
                                            + (each.text().isEmpty() ? "" : "; " + each.text()))));
        }
        int x = LEFT;
        int y = TOP + LANE * order.size() + 20;
        for (long version : versions) {
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<rect x=\"%d\" y=\"%d\" width=\"14\" height=\"14\" fill=\"%s\"/><text"
                                    + " x=\"%d\" y=\"%d\">%s</text>%n",
                            x,
                            y,
                            colour(version),
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
