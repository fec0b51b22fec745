package ochretiller.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who sees whom, as SVG: a row a server, in it a strip a member, in each strip the time from left
 * to right. A view that is right everywhere is a picture of columns without a break.
 */
final class MembershipChart {
    private static final Map<String, String> COLOURS =
            Map.of(
                    "HERE", "#4c9f70", "JOINING", "#8ecae6", "SUSPECT", "#f4c95d", "SILENT",
                    "#b23a48", "LEFT", "#9a9a9a");
    private static final int CELL = 60;
    private static final int HIGH = 14;
    private static final int LEFT = 70;
    private static final int TOP = 60;

    private MembershipChart() {}

    static void write(Path file, String name, List<History.Event> events) throws IOException {
        Map<String, Integer> slots = new HashMap<>();
        Map<Integer, String> names = new TreeMap<>();
        double from = Double.POSITIVE_INFINITY;
        double to = 0;
        for (History.Event event : events) {
            if (event.what() == History.What.STARTED) {
                slots.put(event.id(), event.slot());
                names.put(event.slot(), event.text());
            }
            from = Math.min(from, event.atS());
            to = Math.max(to, event.atS());
        }
        int count = names.keySet().stream().max(Integer::compare).orElse(0);
        StringBuilder svg = new StringBuilder();
        int width = LEFT + count * CELL + 20;
        int height = TOP + count * HIGH + 40;
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d'"
                                + " font-family='sans-serif' font-size='10'>%n",
                        width,
                        height));
        svg.append(
                String.format(
                        Locale.ROOT,
                        "<rect width='100%%' height='100%%' fill='white'/><text x='8' y='16'"
                                + " font-size='13'>%s: who sees whom, %.0f to %.0f s in each"
                                + " cell</text>%n",
                        name,
                        from,
                        to));
        int x = 8;
        for (String state : List.of("JOINING", "HERE", "SUSPECT", "SILENT", "LEFT")) {
            svg.append(
                    String.format(
                            Locale.ROOT,
                            "<rect x='%d' y='24' width='10' height='10' fill='%s'/><text x='%d'"
                                    + " y='33'>%s</text>%n",
                            x,
                            COLOURS.get(state),
                            x + 14,
                            state.toLowerCase(Locale.ROOT)));
            x += 80;
        }
        names.forEach(
                (slot, text) -> {
                    svg.append(
                            String.format(
                                    Locale.ROOT,
                                    "<text x='%d' y='%d'>%s</text>%n",
                                    LEFT + (slot - 1) * CELL + 4,
                                    TOP - 6,
                                    text));
                    svg.append(
                            String.format(
                                    Locale.ROOT,
                                    "<text x='8' y='%d'>%s sees</text>%n",
                                    TOP + slot * HIGH - 4,
                                    text));
                });
        Map<Integer, Map<String, String>> seen = new HashMap<>();
        Map<Integer, Double> since = new HashMap<>();
        for (History.Event event : events) {
            boolean view = event.what() == History.What.VIEW;
            boolean ends =
                    event.what() == History.What.KILLED
                            || event.what() == History.What.ENDED
                            || event.what() == History.What.OVER;
            if (event.what() == History.What.OVER) {
                for (int slot : List.copyOf(seen.keySet())) {
                    strips(
                            svg,
                            slot,
                            seen.get(slot),
                            slots,
                            since.get(slot),
                            event.atS(),
                            from,
                            to);
                }
            } else if (view || ends) {
                if (seen.containsKey(event.slot())) {
                    strips(
                            svg,
                            event.slot(),
                            seen.get(event.slot()),
                            slots,
                            since.get(event.slot()),
                            event.atS(),
                            from,
                            to);
                }
                seen.remove(event.slot());
                if (view) {
                    seen.put(event.slot(), event.view());
                    since.put(event.slot(), event.atS());
                }
            }
        }
        Files.writeString(file, svg.append("</svg>\n").toString());
    }

    private static void strips(
            StringBuilder svg,
            int observer,
            Map<String, String> states,
            Map<String, Integer> slots,
            double since,
            double until,
            double from,
            double to) {
        states.forEach(
                (start, state) -> {
                    Integer slot = slots.get(start);
                    if (slot == null
                            || state.equals("SILENT")
                                    && states.entrySet().stream()
                                            .anyMatch(
                                                    other ->
                                                            !other.getKey().equals(start)
                                                                    && slot.equals(
                                                                            slots.get(
                                                                                    other.getKey()))
                                                                    && !other.getValue()
                                                                            .equals("SILENT"))) {
                        return; // its successor has the strip
                    }
                    double scale = (CELL - 4) / Math.max(1e-9, to - from);
                    svg.append(
                            String.format(
                                    Locale.ROOT,
                                    "<rect x='%.1f' y='%d' width='%.1f' height='%d' fill='%s'/>%n",
                                    LEFT + (slot - 1) * CELL + (since - from) * scale,
                                    TOP + (observer - 1) * HIGH + 2,
                                    Math.max(0.3, (until - since) * scale),
                                    HIGH - 3,
                                    COLOURS.getOrDefault(state, "black")));
                });
    }
}
