package ochretiller.emulator.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import ochretiller.json5.Json5;
import ochretiller.settings.MalformedException;

/** Reads fleet scenarios from JSON5; an invalid one is rejected with the position of the error. */
public final class FleetScenarioReader {
    private static final Json5 SCHEMA =
            new Json5(FleetScenarioReader.class, "/ochretiller/emulator/fleet.schema.json");

    private FleetScenarioReader() {}

    public static FleetScenario read(Path file) {
        return toScenario(SCHEMA.read(file, "the script"), Json5.baseName(file));
    }

    public static FleetScenario parse(String text, String name) {
        return toScenario(SCHEMA.parse(text, name), name);
    }

    private static FleetScenario toScenario(JsonNode root, String file) {
        JsonNode net = root.path("network");
        JsonNode load = root.path("load");
        JsonNode expect = root.path("expect");
        List<FleetScenario.Incident> incidents = new ArrayList<>();
        root.path("incidents")
                .forEach(
                        each ->
                                incidents.add(
                                        new FleetScenario.Incident(
                                                each.path("at_s").asDouble(),
                                                each.path("for_s").asDouble(0),
                                                each.path("what").asText(),
                                                each.path("who").asText(""),
                                                each.path("from").asText(""),
                                                each.path("to").asText(""),
                                                each.path("strength").asDouble(1),
                                                FleetScenario.Disk.valueOf(
                                                        each.path("disk")
                                                                .asText("kept")
                                                                .toUpperCase(Locale.ROOT)))));
        int members = root.path("members").asInt();
        FleetScenario scenario =
                new FleetScenario(
                        root.path("name").asText(file),
                        root.path("seconds").asDouble(),
                        members,
                        root.path("zones").asInt(1),
                        Math.min(members, root.path("seeds").asInt(2)),
                        root.path("start_s").asDouble(1),
                        root.path("probe_ms").asInt(100),
                        net.path("delay_ms").asDouble(0.3),
                        net.path("jitter_ms").asDouble(0.3),
                        root.path("copies").asBoolean(false),
                        root.path("store").asBoolean(false),
                        new FleetScenario.Load(
                                load.path("per_second").asDouble(0),
                                load.path("work_ms").asDouble(5)),
                        List.copyOf(incidents),
                        new FleetScenario.Expect(
                                expect.path("settled_s").asDouble(0),
                                expect.path("false_verdicts").asInt(-1),
                                expect.path("changes_each").asInt(-1),
                                expect.path("value_share").asDouble(0)));
        FaultSchedule schedule = FaultSchedule.of(scenario);
        if (schedule.lastFaultEndS() > scenario.seconds()) {
            throw new MalformedException(
                    scenario.name()
                            + ": its last fault ends at "
                            + schedule.lastFaultEndS()
                            + " s, after the scenario ends");
        }
        return scenario;
    }
}
