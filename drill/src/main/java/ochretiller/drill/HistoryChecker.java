package ochretiller.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ochretiller.emulator.fleet.FaultSchedule;
import ochretiller.emulator.fleet.FleetScenario;

/**
 * Holds a history against the rules. It reads the history and the script, and nothing of the
 * program.
 */
final class HistoryChecker {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A process that was let go this lately may still be judged by what it did not answer. */
    private static final double GRACE_S = 2;

    /** Billed value is earned within so long. */
    private static final double OBJECTIVE_S = 2;

    /** An answer later than this is none. */
    private static final double DUE_S = 4.5;

    private final FleetScenario script;
    private final FaultSchedule plan;
    private final List<History.Event> events;
    private final List<String> broken = new ArrayList<>();
    private final List<Double> knownMs = new ArrayList<>();
    private double settledS = Double.POSITIVE_INFINITY;
    private int falseVerdicts;
    private int changesEach;
    private int asked;
    private int earned;
    private int lost;
    private int ranTwice;
    private int throttled;
    private boolean voided;

    HistoryChecker(FleetScenario script, List<History.Event> events) {
        this.script = script;
        this.plan = FaultSchedule.of(script);
        this.events = events;
        for (History.Event event : events) {
            voided |= event.what() == History.What.VOID;
        }
        views();
        answers();
        copies();
        if (script.expect().valueShare() > 0 && valueShare() < script.expect().valueShare()) {
            broken.add(
                    String.format(
                            Locale.ROOT,
                            "value: %.4f of the billed value, under %.4f",
                            valueShare(),
                            script.expect().valueShare()));
        }
    }

    /** What was broken, each with its rule; nothing where the script could not be carried out. */
    List<String> broken() {
        return voided ? List.of() : broken;
    }

    boolean voided() {
        return voided;
    }

    double settledS() {
        return settledS;
    }

    int falseVerdicts() {
        return falseVerdicts;
    }

    int changesEach() {
        return changesEach;
    }

    int asked() {
        return asked;
    }

    /** Tokens that were run more than once. */
    int ranTwice() {
        return ranTwice;
    }

    int throttled() {
        return throttled;
    }

    int lost() {
        return lost;
    }

    double valueShare() {
        return asked == 0 ? 1 : (double) earned / asked;
    }

    /** Of the times from each kill until each survivor knew, in milliseconds. */
    double knownMs(double percentile) {
        if (knownMs.isEmpty()) {
            return Double.NaN;
        }
        List<Double> sorted = new ArrayList<>(knownMs);
        sorted.sort(null);
        return sorted.get(
                (int)
                        Math.min(
                                sorted.size() - 1,
                                Math.max(0, Math.ceil(percentile / 100 * sorted.size()) - 1)));
    }

    // ---- views

    private void views() {
        Map<Integer, String> up = new TreeMap<>();
        Map<String, Double> died = new HashMap<>();
        Map<String, Integer> slots = new HashMap<>();
        Map<Integer, Double> letGo = new HashMap<>();
        Set<Integer> paused = new HashSet<>();
        Set<Integer> leaving = new HashSet<>();
        Map<Integer, Map<String, String>> seen = new TreeMap<>();
        Map<Integer, String> digests = new TreeMap<>();
        Map<String, Integer> judged = new TreeMap<>();
        double last = plan.lastS();
        double rightSince = Double.NaN;
        double end = 0;
        for (History.Event event : events) {
            end = event.atS();
            int slot = event.slot();
            switch (event.what()) {
                case STARTED -> {
                    up.put(slot, event.id());
                    slots.put(event.id(), slot);
                    seen.remove(slot);
                    last = Math.max(last, event.atS());
                }
                case KILLED, ENDED -> {
                    String start = up.remove(slot);
                    if (start != null && event.what() == History.What.KILLED) {
                        died.put(start, event.atS());
                    }
                    seen.remove(slot);
                    paused.remove(slot);
                    leaving.remove(slot);
                }
                case PAUSED -> paused.add(slot);
                case RESUMED -> {
                    paused.remove(slot);
                    letGo.put(slot, event.atS());
                    last = Math.max(last, event.atS());
                }
                case LEAVES -> leaving.add(slot);
                case VIEW -> {
                    Map<String, String> before = seen.getOrDefault(slot, Map.of());
                    for (Map.Entry<String, String> each : event.view().entrySet()) {
                        boolean was =
                                !"SILENT".equals(before.get(each.getKey()))
                                        && before.containsKey(each.getKey());
                        if (!each.getValue().equals("SILENT") || !was) {
                            continue;
                        }
                        Integer of = slots.get(each.getKey());
                        boolean alive =
                                of != null
                                        && each.getKey().equals(up.get(of))
                                        && !leaving.contains(of);
                        if (!alive) {
                            Double at = died.get(each.getKey());
                            if (at != null && event.atS() - at < script.seconds()) {
                                knownMs.add((event.atS() - at) * 1e3);
                            }
                            continue;
                        }
                        changesEach =
                                Math.max(
                                        changesEach,
                                        judged.merge(slot + " of " + of, 1, Integer::sum));
                        Set<Integer> unheard = new HashSet<>(plan.unheard(event.atS()));
                        unheard.addAll(plan.unheard(Math.max(0, event.atS() - GRACE_S)));
                        boolean excused =
                                paused.contains(of)
                                        || event.atS() - letGo.getOrDefault(of, -1e9) < GRACE_S
                                        || unheard.contains(of)
                                        || unheard.contains(slot);
                        if (excused) {
                            continue;
                        }
                        falseVerdicts++;
                        if (script.expect().falseVerdicts() >= 0
                                && falseVerdicts > script.expect().falseVerdicts()) {
                            broken.add(
                                    String.format(
                                            Locale.ROOT,
                                            "verdicts: at %.2f s member %d saw %d silent, which was"
                                                    + " alive",
                                            event.atS(),
                                            slot,
                                            of));
                        }
                    }
                    seen.put(slot, event.view());
                    digests.put(slot, event.text());
                }
                default -> {}
            }
            boolean right = right(up, leaving, paused, seen, digests);
            if (!right) {
                rightSince = Double.NaN;
            } else if (Double.isNaN(rightSince)) {
                rightSince = event.atS();
            }
        }
        if (!Double.isNaN(rightSince)) {
            settledS = Math.max(0, rightSince - last);
        }
        if (script.expect().settledS() > 0 && settledS > script.expect().settledS()) {
            broken.add(
                    String.format(
                            Locale.ROOT,
                            "settled: views were equal and right %.1f s behind the last fault, not"
                                    + " within %.1f; watched until %.1f s",
                            settledS,
                            script.expect().settledS(),
                            end));
        }
        if (script.expect().changesEach() >= 0 && changesEach > script.expect().changesEach()) {
            broken.add(
                    "changes: one member was judged silent "
                            + changesEach
                            + " times, over "
                            + script.expect().changesEach());
        }
    }

    /** Whether all views are equal and right. */
    private static boolean right(
            Map<Integer, String> up,
            Set<Integer> leaving,
            Set<Integer> paused,
            Map<Integer, Map<String, String>> seen,
            Map<Integer, String> digests) {
        Set<String> there = new TreeSet<>();
        String digest = null;
        up.forEach(
                (slot, start) -> {
                    if (!leaving.contains(slot)) {
                        there.add(start);
                    }
                });
        for (Map.Entry<Integer, String> each : up.entrySet()) {
            int slot = each.getKey();
            if (leaving.contains(slot)) {
                continue;
            }
            if (paused.contains(slot)) {
                return false;
            }
            Map<String, String> view = seen.get(slot);
            if (view == null) {
                return false;
            }
            Set<String> live = new TreeSet<>();
            view.forEach(
                    (start, state) -> {
                        if (state.equals("HERE")) {
                            live.add(start);
                        }
                    });
            if (!live.equals(there)) {
                return false;
            }
            if (digest != null && !digest.equals(digests.get(slot))) {
                return false;
            }
            digest = digests.get(slot);
        }
        return true;
    }

    // ---- copies

    /**
     * At the end, with all faults healed and all ranges compared, the keepers of a range have the
     * same of it, and all of it.
     */
    private void copies() {
        Map<String, String> first = new HashMap<>();
        for (History.Event event : events) {
            if (event.what() != History.What.COPIES) {
                continue;
            }
            if (event.text().equals("none")) {
                broken.add("copies: server " + event.slot() + " did not tell what it keeps");
                continue;
            }
            try {
                for (Map.Entry<String, JsonNode> range : JSON.readTree(event.text()).properties()) {
                    String digest = range.getValue().get(1).asText();
                    String other = first.putIfAbsent(range.getKey(), digest);
                    if (!range.getValue().get(2).asBoolean()) {
                        broken.add(
                                "copies: range "
                                        + range.getKey()
                                        + " is not whole at server "
                                        + event.slot());
                    } else if (other != null && !other.equals(digest)) {
                        broken.add(
                                "copies: server "
                                        + event.slot()
                                        + " has range "
                                        + range.getKey()
                                        + " otherwise than another");
                    }
                }
            } catch (IOException e) {
                broken.add("copies: what server " + event.slot() + " told is no JSON");
            }
        }
    }

    // ---- answers and runs

    private void answers() {
        Map<String, History.Event> open = new HashMap<>();
        Map<String, Integer> answers = new HashMap<>();
        Map<String, Integer> runs = new HashMap<>();
        Map<Integer, String> starts = new HashMap<>();
        Set<String> ran = new HashSet<>();
        Map<String, String> results = new HashMap<>();
        for (History.Event event : events) {
            switch (event.what()) {
                case STARTED -> starts.put(event.slot(), event.id());
                case ASKED -> {
                    asked++;
                    open.put(event.id(), event);
                }
                case RAN -> {
                    ran.add(event.id());
                    // At most once on a server within its window; a process that was killed has
                    // forgotten, as long as no results are kept.
                    boolean keyed = script.copies() && event.id().startsWith("order ");
                    int times =
                            runs.merge(
                                    keyed
                                            ? event.id()
                                            : event.id() + " on " + starts.get(event.slot()),
                                    1,
                                    Integer::sum);
                    if (times == 2) {
                        broken.add(
                                "twice: token "
                                        + event.id()
                                        + " was run twice, now by server "
                                        + event.slot());
                    }
                    ranTwice += times == 2 ? 1 : 0;
                }
                case ANSWERED -> {
                    History.Event ask = open.get(event.id());
                    if (ask == null) {
                        broken.add("answers: " + event.id() + " was answered and never asked");
                        continue;
                    }
                    double took = event.atS() - ask.atS();
                    if (answers.merge(event.id(), 1, Integer::sum) > 1) {
                        broken.add("answers: " + event.id() + " was answered twice");
                    }
                    if (event.text().equals("broken")) {
                        lost++;
                    }
                    if (event.text().equals("throttled")) {
                        throttled++;
                    }
                    if (event.text().equals("none")) {
                        broken.add("answers: " + event.id() + " had no answer");
                    } else if (!event.text().equals("broken") && took > DUE_S) {
                        broken.add("answers: " + event.id() + " was answered late");
                    }
                    if (event.text().startsWith("succeeded")) {
                        if (script.copies() && ask.text().startsWith("order ")) {
                            String other = results.putIfAbsent(ask.text(), event.text());
                            if (other != null && !other.equals(event.text())) {
                                broken.add(
                                        "replays: "
                                                + ask.text()
                                                + " was answered with two results");
                            }
                        }
                        if (took <= OBJECTIVE_S) {
                            earned++;
                        }
                        if (!ran.contains(ask.text())) {
                            broken.add("explained: " + event.id() + " succeeded and was never run");
                        }
                    }
                }
                default -> {}
            }
        }
        for (String id : open.keySet()) {
            if (!answers.containsKey(id)) {
                broken.add("answers: " + id + " had no answer");
            }
        }
    }
}
