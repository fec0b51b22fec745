package ochretiller.emulator.scenario;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ochretiller.json5.Json5;
import ochretiller.settings.MalformedException;

/**
 * Reads scenarios from JSON5 scripts. An error of the schema is reported with its line and column,
 * an inconsistency between sections in one line.
 */
public final class ScenarioReader {
    private static final Json5 SCRIPT_FORMAT =
            new Json5(ScenarioReader.class, "/ochretiller/emulator/script.schema.json");

    private static final Set<String> SECTIONS =
            Set.of("fleet", "network", "gateways", "ledger", "traffic");

    private ScenarioReader() {}

    /**
     * Reads a scenario from a file.
     *
     * @throws MalformedException if the file cannot be read or is not a valid scenario
     */
    public static Scenario read(Path file) {
        return toScenario(SCRIPT_FORMAT.read(file, "the script"), Json5.baseName(file));
    }

    /** Parses a scenario; {@code name} stands for the file name in error messages. */
    public static Scenario parse(String text, String name) {
        return toScenario(SCRIPT_FORMAT.parse(text, name), name);
    }

    /** Returns the members of a script as written, to write a changed copy of it. */
    public static Map<String, Object> members(Path file) {
        return new ObjectMapper()
                .convertValue(
                        SCRIPT_FORMAT.read(file, "the script"),
                        new TypeReference<LinkedHashMap<String, Object>>() {});
    }

    /**
     * Reads a scenario and overrides values, given as {@code name=value,name=value}. A name that
     * begins with a section of the script ({@code gateways.choice=least}) sets a member of that
     * section; any other name is a server setting.
     */
    public static Scenario variant(Path file, String overrides) {
        JsonNode root = SCRIPT_FORMAT.read(file, "the script");
        ObjectNode changed = new ObjectMapper().valueToTree(root);
        for (String each : overrides.split(",")) {
            int at = each.indexOf('=');
            int dot = each.indexOf('.');
            if (at < 1 || dot < 1 || dot > at) {
                throw new MalformedException(
                        "invalid override '" + each + "': expected section.name=value");
            }
            boolean isSection = SECTIONS.contains(each.substring(0, dot));
            JsonNode value = toJsonValue(each.substring(at + 1));
            changed.withObjectProperty(isSection ? each.substring(0, dot) : "settings")
                    .set(isSection ? each.substring(dot + 1, at) : each.substring(0, at), value);
        }
        String name = file.getFileName() + " with " + overrides;
        return toScenario(
                SCRIPT_FORMAT.parse(changed.toString(), name), file.getFileName().toString());
    }

    /** Converts a value to a JSON boolean, a number or, if it is neither, a string. */
    private static JsonNode toJsonValue(String text) {
        if (text.equals("true") || text.equals("false")) {
            return BooleanNode.valueOf(Boolean.parseBoolean(text));
        }
        try {
            return text.matches("-?\\d{1,9}")
                    ? IntNode.valueOf(Integer.parseInt(text))
                    : DoubleNode.valueOf(Double.parseDouble(text));
        } catch (NumberFormatException e) {
            return TextNode.valueOf(text);
        }
    }

    private static Scenario toScenario(JsonNode root, String file) {
        JsonNode fleet = root.path("fleet");
        JsonNode net = root.path("network");
        JsonNode gateways = root.path("gateways");
        JsonNode ledger = root.path("ledger");
        JsonNode traffic = root.path("traffic");
        JsonNode expect = root.path("expect");
        List<Scenario.Operation> operations = new ArrayList<>();
        root.path("operations").forEach(each -> operations.add(toOperation(each)));
        List<Scenario.Incident> incidents = new ArrayList<>();
        root.path("incidents")
                .forEach(
                        each ->
                                incidents.add(
                                        new Scenario.Incident(
                                                each.path("at_s").asDouble(),
                                                each.path("for_s").asDouble(0),
                                                each.path("what").asText(),
                                                each.path("share").asDouble(1),
                                                each.path("strength").asDouble(2))));
        Map<String, String> settings = new TreeMap<>();
        root.path("settings")
                .properties()
                .forEach(each -> settings.put(each.getKey(), each.getValue().asText()));
        Scenario scenario =
                new Scenario(
                        root.path("name").asText(file),
                        root.path("seconds").asDouble(),
                        new Scenario.Fleet(
                                fleet.path("boxes").asInt(),
                                fleet.path("cores").asInt(2),
                                fleet.path("memory_kb").asDouble(200_000),
                                fleet.path("run_factor").asDouble(4),
                                fleet.path("key_kb").asDouble(4),
                                fleet.path("crowd").asDouble(2),
                                fleet.path("loss").asDouble(0.15),
                                fleet.path("falls_at").asDouble(60),
                                fleet.path("cold_share").asDouble(0.4),
                                fleet.path("cold_s").asDouble(20),
                                fleet.path("boot_s").asDouble(5),
                                fleet.path("read_ms").asDouble(0.3),
                                fleet.path("grace_s").asDouble(2),
                                fleet.path("stop_s").asDouble(8),
                                fleet.path("remembers").asBoolean(false),
                                fleet.path("force_ms").asDouble(2)),
                        new Scenario.Network(
                                net.path("delay_ms").asDouble(1),
                                net.path("jitter_ms").asDouble(1)),
                        new Scenario.Gateways(
                                gateways.path("count").asInt(8),
                                gateways.path("choice").asText("two"),
                                gateways.path("tries").asInt(3),
                                gateways.path("try_ms").asDouble(0),
                                gateways.path("pause_ms").asDouble(20),
                                gateways.path("heeds").asDouble(0.5),
                                gateways.path("list_s").asDouble(2),
                                gateways.path("health_ms").asDouble(250)),
                        new Scenario.RecordsService(
                                ledger.path("slots").asInt(64),
                                ledger.path("work_ms").asDouble(20),
                                ledger.path("waits").asInt(256),
                                ledger.path("falls_at").asInt(0),
                                ledger.path("down_s").asDouble(5)),
                        List.copyOf(operations),
                        new Scenario.Traffic(
                                traffic.path("per_second").asDouble(),
                                traffic.path("callers").asInt(100),
                                traffic.path("skew").asDouble(0)),
                        List.copyOf(incidents),
                        new Scenario.Expectations(
                                expect.path("value_share").asDouble(0),
                                expect.path("p99_ms").asDouble(0),
                                expect.path("rules").asBoolean(true)),
                        Map.copyOf(settings));
        checkConsistency(scenario);
        return scenario;
    }

    private static Scenario.Operation toOperation(JsonNode node) {
        String effect = node.path("effect").asText("idempotent");
        return new Scenario.Operation(
                node.path("name").asText(),
                node.path("share").asDouble(1),
                effect,
                node.path("work_ms").asDouble(),
                node.path("spread").asDouble(0.5),
                node.path("calls").asBoolean(false),
                node.path("objective_ms").asDouble(),
                node.path("timeout_ms").asDouble(),
                node.path("value").asDouble(1),
                node.path("late_share").asDouble(0),
                node.path("window_ms").asDouble(effect.equals("tokened") ? 20_000 : 0),
                node.path("kb").asDouble(20),
                node.path("repeats").asDouble(0),
                node.path("back_s").asDouble(5));
    }

    /** Checks the constraints between members that the schema cannot express. */
    private static void checkConsistency(Scenario scenario) {
        Set<String> names = new HashSet<>();
        for (Scenario.Operation each : scenario.operations()) {
            if (!names.add(each.name())) {
                throw new MalformedException(
                        scenario.name() + ": duplicate operation " + each.name());
            }
            if (each.objectiveMs() > each.timeoutMs()) {
                throw new MalformedException(
                        scenario.name()
                                + ": objective_ms of "
                                + each.name()
                                + " must not exceed its timeout_ms");
            }
            if (each.effect().equals("tokened") == (each.windowMs() == 0)) {
                throw new MalformedException(
                        scenario.name()
                                + ": "
                                + each.name()
                                + " must have a window_ms above 0 if and only if it is tokened");
            }
        }
        for (Scenario.Incident each : scenario.incidents()) {
            if (each.atS() >= scenario.seconds()) {
                throw new MalformedException(
                        scenario.name()
                                + ": "
                                + each.what()
                                + " at "
                                + each.atS()
                                + " s is not before the end of the run");
            }
        }
        if (scenario.fleet().graceS() >= scenario.fleet().stopS()) {
            throw new MalformedException(scenario.name() + ": grace_s must be less than stop_s");
        }
    }
}
