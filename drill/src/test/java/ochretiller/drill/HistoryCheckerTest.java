package ochretiller.drill;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.FleetScenarioReader;
import org.junit.jupiter.api.Test;

/** The checker finds each injected violation and none in a valid history. */
class HistoryCheckerTest {
    private final FleetScenario scenario =
            FleetScenarioReader.parse(
                    """
                    { seconds: 20, members: 3, incidents: [ { at_s: 4, what: 'kill', who: '3' } ],
                      expect: { settled_s: 8, false_verdicts: 0, changes_each: 1, value_share: 0.9 } }\
                    """,
                    "s");

    private static Map<String, String> view(String... statesByIncarnation) {
        Map<String, String> view = new TreeMap<>();
        for (int i = 0; i < statesByIncarnation.length; i += 2) {
            view.put(statesByIncarnation[i], statesByIncarnation[i + 1]);
        }
        return view;
    }

    private static History.Event event(
            double atS, History.EventType type, int slot, String id, String text) {
        return new History.Event(atS, type, slot, id, text, null);
    }

    private static History.Event viewEvent(
            double atS, int slot, String digest, String... statesByIncarnation) {
        return new History.Event(
                atS, History.EventType.VIEW, slot, "", digest, view(statesByIncarnation));
    }

    private static List<History.Event> validHistory() {
        List<History.Event> events = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            events.add(event(1, History.EventType.STARTED, i, "s" + i, "m" + i));
        }
        for (int i = 1; i <= 3; i++) {
            events.add(viewEvent(1.5, i, "d1", "s1", "HERE", "s2", "HERE", "s3", "HERE"));
        }
        for (int i = 1; i <= 10; i++) {
            events.add(event(2, History.EventType.ASKED, 1, "r" + i, "body" + i));
            events.add(event(2.1, History.EventType.RAN, 1, "body" + i, ""));
            events.add(event(2.2, History.EventType.ANSWERED, 1, "r" + i, "succeeded"));
        }
        events.add(event(4, History.EventType.KILLED, 3, "s3", ""));
        for (int i = 1; i <= 2; i++) {
            events.add(viewEvent(6, i, "d2", "s1", "HERE", "s2", "HERE", "s3", "SILENT"));
        }
        events.add(event(12, History.EventType.OVER, 0, "", ""));
        return events;
    }

    private void assertFinds(String rule, Consumer<List<History.Event>> injectFault) {
        List<History.Event> events = validHistory();
        injectFault.accept(events);
        events.sort(java.util.Comparator.comparingDouble(History.Event::atS));
        assertThat(new HistoryChecker(scenario, events).violations())
                .as(rule)
                .anyMatch(line -> line.startsWith(rule));
    }

    @Test
    void validHistoryHasNoViolations() {
        HistoryChecker checker = new HistoryChecker(scenario, validHistory());
        assertThat(checker.violations()).isEmpty();
        assertThat(checker.settleTimeS()).isEqualTo(2);
        assertThat(checker.detectionMs(99)).isEqualTo(2000);
        assertThat(checker.valueShare()).isEqualTo(1);
    }

    @Test
    void findsEachInjectedViolation() {
        assertFinds(
                "settled", events -> events.removeIf(each -> each.atS() == 6 && each.slot() == 2));
        assertFinds(
                "settled",
                events ->
                        events.add(
                                viewEvent(
                                        11, 1, "d3", "s1", "HERE", "s2", "HERE", "s3", "SILENT")));
        assertFinds(
                "settled",
                events ->
                        events.add(
                                viewEvent(7, 2, "d2", "s1", "HERE", "s2", "HERE", "s3", "HERE")));
        assertFinds(
                "verdicts",
                events ->
                        events.add(
                                viewEvent(3, 1, "d3", "s1", "HERE", "s2", "SILENT", "s3", "HERE")));
        assertFinds(
                "changes",
                events -> {
                    events.add(viewEvent(3, 1, "d", "s1", "HERE", "s2", "SILENT", "s3", "HERE"));
                    events.add(viewEvent(3.2, 1, "d", "s1", "HERE", "s2", "HERE", "s3", "HERE"));
                    events.add(viewEvent(3.4, 1, "d", "s1", "HERE", "s2", "SILENT", "s3", "HERE"));
                });
        assertFinds(
                "answers",
                events -> events.add(event(3, History.EventType.ANSWERED, 1, "r1", "throttled")));
        assertFinds(
                "answers",
                events ->
                        events.removeIf(
                                each ->
                                        each.what() == History.EventType.ANSWERED
                                                && each.id().equals("r4")));
        assertFinds(
                "answers",
                events -> events.add(event(3, History.EventType.ANSWERED, 1, "r99", "succeeded")));
        assertFinds(
                "answers",
                events ->
                        events.replaceAll(
                                each ->
                                        each.what() == History.EventType.ANSWERED
                                                        && each.id().equals("r4")
                                                ? event(9, each.what(), 1, "r4", "errored")
                                                : each));
        assertFinds("twice", events -> events.add(event(3, History.EventType.RAN, 1, "body2", "")));
        assertFinds(
                "explained",
                events ->
                        events.removeIf(
                                each ->
                                        each.what() == History.EventType.RAN
                                                && each.id().equals("body3")));
        assertFinds(
                "value",
                events ->
                        events.replaceAll(
                                each ->
                                        each.what() == History.EventType.ANSWERED
                                                        && each.id().compareTo("r5") > 0
                                                ? event(
                                                        each.atS(),
                                                        each.what(),
                                                        1,
                                                        each.id(),
                                                        "throttled")
                                                : each));
    }

    @Test
    void voidRunHasNoViolations() {
        List<History.Event> events = validHistory();
        events.add(event(3, History.EventType.RAN, 1, "body2", ""));
        events.add(event(3, History.EventType.VOID, 1, "", "came late"));
        HistoryChecker checker = new HistoryChecker(scenario, events);
        assertThat(checker.isVoid()).isTrue();
        assertThat(checker.violations()).isEmpty();
    }
}
