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
 * Draws membership views over time as SVG: a row per observing server, in it a cell per member with
 * time from left to right. If all views agree, each column looks the same in all rows.
 */
final class MembershipChart {
    private static final Map<String, String> COLOURS =
            Map.of(
                    "HERE", "#4c9f70", "JOINING", "#8ecae6", "SUSPECT", "#f4c95d", "SILENT",
                    "#b23a48", "LEFT", "#9a9a9a");
    private static final int CELL_WIDTH = 60;
    private static final int ROW_HEIGHT = 14;
    private static final int MARGIN_LEFT = 70;
    private static final int MARGIN_TOP = 60;

    private MembershipChart() {}

    static void write(Path file, String title, List<History.Event> events) throws IOException {
        Map<String, Integer> slotByIncarnation = new HashMap<>();
        Map<Integer, String> nameBySlot = new TreeMap<>();
        double startS = Double.POSITIVE_INFINITY;
        double endS = 0;
        for (History.Event event : events) {
            if (event.what() == History.EventType.STARTED) {
                slotByIncarnation.put(event.id(), event.slot());
                nameBySlot.put(event.slot(), event.text());
            }
            startS = Math.min(startS, event.atS());
            endS = Math.max(endS, event.atS());
        }
        int slotCount = nameBySlot.keySet().stream().max(Integer::compare).orElse(0);
        StringBuilder svg = new StringBuilder();
        int width = MARGIN_LEFT + slotCount * CELL_WIDTH + 20;
        int height = MARGIN_TOP + slotCount * ROW_HEIGHT + 40;
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
                        title,
                        startS,
                        endS));
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
        nameBySlot.forEach(
                (slot, text) -> {
                    svg.append(
                            String.format(
                                    Locale.ROOT,
                                    "<text x='%d' y='%d'>%s</text>%n",
                                    MARGIN_LEFT + (slot - 1) * CELL_WIDTH + 4,
                                    MARGIN_TOP - 6,
                                    text));
                    svg.append(
                            String.format(
                                    Locale.ROOT,
                                    "<text x='8' y='%d'>%s sees</text>%n",
                                    MARGIN_TOP + slot * ROW_HEIGHT - 4,
                                    text));
                });
        Map<Integer, Map<String, String>> views = new HashMap<>();
        Map<Integer, Double> viewSince = new HashMap<>();
        for (History.Event event : events) {
            boolean hasView = event.what() == History.EventType.VIEW;
            boolean stopped =
                    event.what() == History.EventType.KILLED
                            || event.what() == History.EventType.ENDED
                            || event.what() == History.EventType.OVER;
            if (event.what() == History.EventType.OVER) {
                for (int slot : List.copyOf(views.keySet())) {
                    appendCells(
                            svg,
                            slot,
                            views.get(slot),
                            slotByIncarnation,
                            viewSince.get(slot),
                            event.atS(),
                            startS,
                            endS);
                }
            } else if (hasView || stopped) {
                if (views.containsKey(event.slot())) {
                    appendCells(
                            svg,
                            event.slot(),
                            views.get(event.slot()),
                            slotByIncarnation,
                            viewSince.get(event.slot()),
                            event.atS(),
                            startS,
                            endS);
                }
                views.remove(event.slot());
                if (hasView) {
                    views.put(event.slot(), event.view());
                    viewSince.put(event.slot(), event.atS());
                }
            }
        }
        Files.writeString(file, svg.append("</svg>\n").toString());
    }

    private static void appendCells(
            StringBuilder svg,
            int observer,
            Map<String, String> states,
            Map<String, Integer> slotByIncarnation,
            double sinceS,
            double untilS,
            double startS,
            double endS) {
        states.forEach(
                (incarnation, state) -> {
                    Integer slot = slotByIncarnation.get(incarnation);
                    if (slot == null
                            || state.equals("SILENT")
                                    && states.entrySet().stream()
                                            .anyMatch(
                                                    other ->
                                                            !other.getKey().equals(incarnation)
                                                                    && slot.equals(
                                                                            slotByIncarnation.get(
                                                                                    other.getKey()))
                                                                    && !other.getValue()
                                                                            .equals("SILENT"))) {
                        return; // a newer incarnation in the same slot is drawn instead
                    }
                    double scale = (CELL_WIDTH - 4) / Math.max(1e-9, endS - startS);
                    svg.append(
                            String.format(
                                    Locale.ROOT,
                                    "<rect x='%.1f' y='%d' width='%.1f' height='%d' fill='%s'/>%n",
                                    MARGIN_LEFT
                                            + (slot - 1) * CELL_WIDTH
                                            + (sinceS - startS) * scale,
                                    MARGIN_TOP + (observer - 1) * ROW_HEIGHT + 2,
                                    Math.max(0.3, (untilS - sinceS) * scale),
                                    ROW_HEIGHT - 3,
                                    COLOURS.getOrDefault(state, "black")));
                });
    }
}
