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

/** Checks a history against the rules, from the history and the scenario alone. */
final class HistoryChecker {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A verdict of silence is excused for this long after the end of a pause or network fault. */
    private static final double VERDICT_GRACE_S = 2;

    /** A result counts towards the billed value if it arrives within this time. */
    private static final double ANSWER_OBJECTIVE_S = 2;

    /** An answer that takes longer than this breaks a rule. */
    private static final double ANSWER_TIMEOUT_S = 4.5;

    private final FleetScenario scenario;
    private final FaultSchedule schedule;
    private final List<History.Event> events;
    private final List<String> ruleViolations = new ArrayList<>();
    private final List<Double> detectionTimesMs = new ArrayList<>();
    private double settleTimeS = Double.POSITIVE_INFINITY;
    private int falseVerdicts;
    private int maxVerdictsPerPair;
    private int sentCount;
    private int onTimeCount;
    private int lostCount;
    private int runTwiceCount;
    private int throttledCount;
    private boolean hasVoidEvent;

    HistoryChecker(FleetScenario scenario, List<History.Event> events) {
        this.scenario = scenario;
        this.schedule = FaultSchedule.of(scenario);
        this.events = events;
        for (History.Event event : events) {
            hasVoidEvent |= event.what() == History.EventType.VOID;
        }
        checkViews();
        checkAnswers();
        checkReplicas();
        if (scenario.expect().valueShare() > 0 && valueShare() < scenario.expect().valueShare()) {
            ruleViolations.add(
                    String.format(
                            Locale.ROOT,
                            "value: %.4f of the billed value, under %.4f",
                            valueShare(),
                            scenario.expect().valueShare()));
        }
    }

    /** Returns the violations, each starting with its rule; none if the run is void. */
    List<String> violations() {
        return hasVoidEvent ? List.of() : ruleViolations;
    }

    boolean isVoid() {
        return hasVoidEvent;
    }

    double settleTimeS() {
        return settleTimeS;
    }

    int falseVerdicts() {
        return falseVerdicts;
    }

    int maxVerdictsPerPair() {
        return maxVerdictsPerPair;
    }

    int requestCount() {
        return sentCount;
    }

    /** Returns how many tokens were run more than once. */
    int tokensRunTwice() {
        return runTwiceCount;
    }

    int throttledRequests() {
        return throttledCount;
    }

    int lostRequests() {
        return lostCount;
    }

    double valueShare() {
        return sentCount == 0 ? 1 : (double) onTimeCount / sentCount;
    }

    /** Returns a percentile of the times from a kill to each survivor's verdict, in ms, or NaN. */
    double detectionMs(double percentile) {
        if (detectionTimesMs.isEmpty()) {
            return Double.NaN;
        }
        List<Double> sorted = new ArrayList<>(detectionTimesMs);
        sorted.sort(null);
        return sorted.get(
                (int)
                        Math.min(
                                sorted.size() - 1,
                                Math.max(0, Math.ceil(percentile / 100 * sorted.size()) - 1)));
    }

    // ---- membership views

    private void checkViews() {
        Map<Integer, String> running = new TreeMap<>();
        Map<String, Double> killedAtS = new HashMap<>();
        Map<String, Integer> slotByIncarnation = new HashMap<>();
        Map<Integer, Double> resumedAtS = new HashMap<>();
        Set<Integer> paused = new HashSet<>();
        Set<Integer> leaving = new HashSet<>();
        Map<Integer, Map<String, String>> views = new TreeMap<>();
        Map<Integer, String> digests = new TreeMap<>();
        Map<String, Integer> silentCounts = new TreeMap<>();
        double lastFaultS = schedule.lastFaultEndS();
        double convergedSinceS = Double.NaN;
        double endS = 0;
        for (History.Event event : events) {
            endS = event.atS();
            int slot = event.slot();
            switch (event.what()) {
                case STARTED -> {
                    running.put(slot, event.id());
                    slotByIncarnation.put(event.id(), slot);
                    views.remove(slot);
                    lastFaultS = Math.max(lastFaultS, event.atS());
                }
                case KILLED, ENDED -> {
                    String incarnation = running.remove(slot);
                    if (incarnation != null && event.what() == History.EventType.KILLED) {
                        killedAtS.put(incarnation, event.atS());
                    }
                    views.remove(slot);
                    paused.remove(slot);
                    leaving.remove(slot);
                }
                case PAUSED -> paused.add(slot);
                case RESUMED -> {
                    paused.remove(slot);
                    resumedAtS.put(slot, event.atS());
                    lastFaultS = Math.max(lastFaultS, event.atS());
                }
                case LEAVES -> leaving.add(slot);
                case VIEW -> {
                    Map<String, String> previousView = views.getOrDefault(slot, Map.of());
                    for (Map.Entry<String, String> member : event.view().entrySet()) {
                        boolean wasPresent =
                                !"SILENT".equals(previousView.get(member.getKey()))
                                        && previousView.containsKey(member.getKey());
                        if (!member.getValue().equals("SILENT") || !wasPresent) {
                            continue;
                        }
                        Integer memberSlot = slotByIncarnation.get(member.getKey());
                        boolean memberRunning =
                                memberSlot != null
                                        && member.getKey().equals(running.get(memberSlot))
                                        && !leaving.contains(memberSlot);
                        if (!memberRunning) {
                            Double killedS = killedAtS.get(member.getKey());
                            if (killedS != null && event.atS() - killedS < scenario.seconds()) {
                                detectionTimesMs.add((event.atS() - killedS) * 1e3);
                            }
                            continue;
                        }
                        maxVerdictsPerPair =
                                Math.max(
                                        maxVerdictsPerPair,
                                        silentCounts.merge(
                                                slot + " of " + memberSlot, 1, Integer::sum));
                        Set<Integer> unreachable =
                                new HashSet<>(schedule.unreachableSlots(event.atS()));
                        unreachable.addAll(
                                schedule.unreachableSlots(
                                        Math.max(0, event.atS() - VERDICT_GRACE_S)));
                        boolean excused =
                                paused.contains(memberSlot)
                                        || event.atS() - resumedAtS.getOrDefault(memberSlot, -1e9)
                                                < VERDICT_GRACE_S
                                        || unreachable.contains(memberSlot)
                                        || unreachable.contains(slot);
                        if (excused) {
                            continue;
                        }
                        falseVerdicts++;
                        if (scenario.expect().falseVerdicts() >= 0
                                && falseVerdicts > scenario.expect().falseVerdicts()) {
                            ruleViolations.add(
                                    String.format(
                                            Locale.ROOT,
                                            "verdicts: at %.2f s member %d saw %d silent, which was"
                                                    + " alive",
                                            event.atS(),
                                            slot,
                                            memberSlot));
                        }
                    }
                    views.put(slot, event.view());
                    digests.put(slot, event.text());
                }
                default -> {}
            }
            boolean converged = hasConverged(running, leaving, paused, views, digests);
            if (!converged) {
                convergedSinceS = Double.NaN;
            } else if (Double.isNaN(convergedSinceS)) {
                convergedSinceS = event.atS();
            }
        }
        if (!Double.isNaN(convergedSinceS)) {
            settleTimeS = Math.max(0, convergedSinceS - lastFaultS);
        }
        if (scenario.expect().settledS() > 0 && settleTimeS > scenario.expect().settledS()) {
            ruleViolations.add(
                    String.format(
                            Locale.ROOT,
                            "settled: views were equal and right %.1f s behind the last fault, not"
                                    + " within %.1f; watched until %.1f s",
                            settleTimeS,
                            scenario.expect().settledS(),
                            endS));
        }
        if (scenario.expect().changesEach() >= 0
                && maxVerdictsPerPair > scenario.expect().changesEach()) {
            ruleViolations.add(
                    "changes: one member was judged silent "
                            + maxVerdictsPerPair
                            + " times, over "
                            + scenario.expect().changesEach());
        }
    }

    /** Whether the views of all running members are equal and show exactly these members. */
    private static boolean hasConverged(
            Map<Integer, String> running,
            Set<Integer> leaving,
            Set<Integer> paused,
            Map<Integer, Map<String, String>> views,
            Map<Integer, String> digests) {
        Set<String> expected = new TreeSet<>();
        String digest = null;
        running.forEach(
                (slot, incarnation) -> {
                    if (!leaving.contains(slot)) {
                        expected.add(incarnation);
                    }
                });
        for (Map.Entry<Integer, String> process : running.entrySet()) {
            int slot = process.getKey();
            if (leaving.contains(slot)) {
                continue;
            }
            if (paused.contains(slot)) {
                return false;
            }
            Map<String, String> view = views.get(slot);
            if (view == null) {
                return false;
            }
            Set<String> members = new TreeSet<>();
            view.forEach(
                    (incarnation, state) -> {
                        if (state.equals("HERE")) {
                            members.add(incarnation);
                        }
                    });
            if (!members.equals(expected)) {
                return false;
            }
            if (digest != null && !digest.equals(digests.get(slot))) {
                return false;
            }
            digest = digests.get(slot);
        }
        return true;
    }

    // ---- replicas

    /**
     * Checks that at the end, after all faults and a comparison of all ranges, the replicas of each
     * range are complete and equal.
     */
    private void checkReplicas() {
        Map<String, String> firstDigests = new HashMap<>();
        for (History.Event event : events) {
            if (event.what() != History.EventType.COPIES) {
                continue;
            }
            if (event.text().equals("none")) {
                ruleViolations.add(
                        "copies: server " + event.slot() + " did not tell what it keeps");
                continue;
            }
            try {
                for (Map.Entry<String, JsonNode> range : JSON.readTree(event.text()).properties()) {
                    String digest = range.getValue().get(1).asText();
                    String other = firstDigests.putIfAbsent(range.getKey(), digest);
                    if (!range.getValue().get(2).asBoolean()) {
                        ruleViolations.add(
                                "copies: range "
                                        + range.getKey()
                                        + " is not whole at server "
                                        + event.slot());
                    } else if (other != null && !other.equals(digest)) {
                        ruleViolations.add(
                                "copies: server "
                                        + event.slot()
                                        + " has range "
                                        + range.getKey()
                                        + " otherwise than another");
                    }
                }
            } catch (IOException e) {
                ruleViolations.add("copies: what server " + event.slot() + " told is no JSON");
            }
        }
    }

    // ---- answers and runs

    private void checkAnswers() {
        Map<String, History.Event> requests = new HashMap<>();
        Map<String, Integer> answerCounts = new HashMap<>();
        Map<String, Integer> runCounts = new HashMap<>();
        Map<Integer, String> incarnations = new HashMap<>();
        Set<String> bodiesRun = new HashSet<>();
        Map<String, String> results = new HashMap<>();
        for (History.Event event : events) {
            switch (event.what()) {
                case STARTED -> incarnations.put(event.slot(), event.id());
                case ASKED -> {
                    sentCount++;
                    requests.put(event.id(), event);
                }
                case RAN -> {
                    bodiesRun.add(event.id());
                    // A token may run only once within its window. Without replication, a killed
                    // process loses its results, so runs are counted by incarnation.
                    boolean keyed = scenario.copies() && event.id().startsWith("order ");
                    int runCount =
                            runCounts.merge(
                                    keyed
                                            ? event.id()
                                            : event.id() + " on " + incarnations.get(event.slot()),
                                    1,
                                    Integer::sum);
                    if (runCount == 2) {
                        ruleViolations.add(
                                "twice: token "
                                        + event.id()
                                        + " was run twice, now by server "
                                        + event.slot());
                    }
                    runTwiceCount += runCount == 2 ? 1 : 0;
                }
                case ANSWERED -> {
                    History.Event request = requests.get(event.id());
                    if (request == null) {
                        ruleViolations.add(
                                "answers: " + event.id() + " was answered and never asked");
                        continue;
                    }
                    double tookS = event.atS() - request.atS();
                    if (answerCounts.merge(event.id(), 1, Integer::sum) > 1) {
                        ruleViolations.add("answers: " + event.id() + " was answered twice");
                    }
                    if (event.text().equals("broken")) {
                        lostCount++;
                    }
                    if (event.text().equals("throttled")) {
                        throttledCount++;
                    }
                    if (event.text().equals("none")) {
                        ruleViolations.add("answers: " + event.id() + " had no answer");
                    } else if (!event.text().equals("broken") && tookS > ANSWER_TIMEOUT_S) {
                        ruleViolations.add("answers: " + event.id() + " was answered late");
                    }
                    if (event.text().startsWith("succeeded")) {
                        if (scenario.copies() && request.text().startsWith("order ")) {
                            String other = results.putIfAbsent(request.text(), event.text());
                            if (other != null && !other.equals(event.text())) {
                                ruleViolations.add(
                                        "replays: "
                                                + request.text()
                                                + " was answered with two results");
                            }
                        }
                        if (tookS <= ANSWER_OBJECTIVE_S) {
                            onTimeCount++;
                        }
                        if (!bodiesRun.contains(request.text())) {
                            ruleViolations.add(
                                    "explained: " + event.id() + " succeeded and was never run");
                        }
                    }
                }
                default -> {}
            }
        }
        for (String id : requests.keySet()) {
            if (!answerCounts.containsKey(id)) {
                ruleViolations.add("answers: " + id + " had no answer");
            }
        }
    }
}
