package ochretiller.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.membership.ProtocolTiming;
import ochretiller.fleet.replication.ClaimMode;
import ochretiller.fleet.replication.ClaimModeSettings;
import ochretiller.fleet.service.FleetSettings;
import ochretiller.fleet.service.ReplicationSettings;
import ochretiller.fleet.service.RolloutSettings;
import ochretiller.json5.Json5;
import ochretiller.pools.PoolSettings;
import ochretiller.settings.MalformedException;

/**
 * Reads an operators' file. Faults are reported as a {@link MalformedException} whose message is
 * one line with file, line and column.
 */
public final class OperatorConfigReader {
    private static final Json5 FORMAT =
            new Json5(OperatorConfigReader.class, "operator.schema.json");

    private OperatorConfigReader() {}

    /** Reads and checks a file; a file that cannot be read counts as malformed. */
    public static OperatorConfig read(Path file) {
        return parseOperator(FORMAT.read(file, "the operators' file"));
    }

    static OperatorConfig parse(String text, String name) {
        return parseOperator(FORMAT.parse(text, name));
    }

    private static OperatorConfig parseOperator(JsonNode root) {
        JsonNode metrics = root.path("metrics");
        JsonNode durability = root.path("remember");
        return new OperatorConfig(
                root.path("log").path("format").asText("text").equals("json"),
                metrics.isMissingNode()
                        ? Optional.empty()
                        : Optional.of(
                                new OperatorConfig.MetricsFile(
                                        Path.of(metrics.get("file").asText()),
                                        millis(metrics, "every_ms", 5_000))),
                durability.isMissingNode()
                        ? Optional.empty()
                        : Optional.of(parseDurability(durability)),
                root.has("uwsgi") ? Optional.of(parseUwsgi(root.get("uwsgi"))) : Optional.empty(),
                parsePools(root.path("pools")),
                root.has("fleet") ? Optional.of(parseFleet(root.get("fleet"))) : Optional.empty(),
                root.has("audit") ? Optional.of(parseAudit(root.get("audit"))) : Optional.empty(),
                parseSimulatedFaults(root.path("drill")));
    }

    private static List<OperatorConfig.Pool> parsePools(JsonNode pools) {
        List<OperatorConfig.Pool> result = new ArrayList<>();
        Set<String> assignedOperations = new HashSet<>();
        pools.properties()
                .forEach(
                        entry ->
                                result.add(
                                        parsePool(
                                                entry.getKey(),
                                                entry.getValue(),
                                                assignedOperations)));
        return List.copyOf(result);
    }

    private static OperatorConfig.Pool parsePool(
            String name, JsonNode node, Set<String> assignedOperations) {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonNode worker : node.get("workers")) {
            InetSocketAddress address = parseAddress(worker.asText());
            if (addresses.contains(address)) {
                throw new MalformedException(
                        "pool " + name + ": worker " + worker.asText() + " is listed twice");
            }
            addresses.add(address);
        }
        List<OperatorConfig.Target> runs = new ArrayList<>();
        for (JsonNode run : node.get("runs")) {
            String operation = run.get("operation").asText();
            if (!assignedOperations.add(operation)) {
                throw new MalformedException(
                        "pool " + name + ": operation " + operation + " already has a pool");
            }
            runs.add(
                    new OperatorConfig.Target(
                            operation,
                            run.path("method").asText("POST"),
                            run.get("path").asText()));
        }
        PoolSettings defaults = PoolSettings.DEFAULT;
        Duration initialEjection =
                millis(node, "left_out_ms", defaults.initialEjection().toMillis());
        Duration maxEjection =
                millis(
                        node,
                        "most_left_out_ms",
                        Math.max(initialEjection.toMillis(), defaults.maxEjection().toMillis()));
        if (maxEjection.compareTo(initialEjection) < 0) {
            throw new MalformedException(
                    "pool " + name + ": most_left_out_ms must not be less than left_out_ms");
        }
        return new OperatorConfig.Pool(
                name,
                List.copyOf(addresses),
                List.copyOf(runs),
                new PoolSettings(
                        node.path("most_in_flight").asInt(defaults.maxInFlight()),
                        node.path("failures_in_row").asInt(defaults.consecutiveFailureLimit()),
                        node.path("bad_share").asDouble(defaults.failureRatioLimit()),
                        initialEjection,
                        maxEjection,
                        node.path("probes").asInt(defaults.probes()),
                        millis(node, "slow_start_ms", defaults.slowStart().toMillis()),
                        node.path("retry_share").asDouble(defaults.retryRatio()),
                        node.path("retry_burst").asDouble(defaults.retryBurst())),
                millis(node, "late_ms", 10_000));
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static FleetSettings parseFleet(JsonNode node) {
        List<PeerAddress> seeds = new ArrayList<>();
        node.path("seeds").forEach(seed -> seeds.add(parsePeerAddress(seed)));
        ProtocolTiming defaults = ProtocolTiming.DEFAULT;
        return new FleetSettings(
                node.get("name").asText(),
                parseAddress(node.get("listen").asText()),
                node.has("advertise") ? parsePeerAddress(node.get("advertise")) : null,
                node.has("serves") ? parsePeerAddress(node.get("serves")) : null,
                Path.of(node.get("key_file").asText()),
                node.has("peers_file") ? Path.of(node.get("peers_file").asText()) : null,
                List.copyOf(seeds),
                node.path("zone").asText(""),
                new ProtocolTiming(
                        millis(node, "probe_ms", defaults.probeInterval().toMillis()),
                        Duration.ofSeconds(
                                node.path("forget_s")
                                        .asLong(defaults.departedRetention().toSeconds())),
                        node.path("most_gone").asInt(defaults.maxDeparted())),
                node.has("copies") ? parseReplication(node.get("copies")) : null);
    }

    private static ReplicationSettings parseReplication(JsonNode node) {
        List<String> acceptors = new ArrayList<>();
        node.get("voters").forEach(voter -> acceptors.add(voter.asText()));
        if (new HashSet<>(acceptors).size() < acceptors.size()) {
            throw new MalformedException("fleet: a name is listed twice in voters");
        }
        return new ReplicationSettings(
                List.copyOf(acceptors),
                node.has("voter_file") ? Path.of(node.get("voter_file").asText()) : null,
                node.path("factor").asInt(3),
                node.path("most_entries").asInt(20_000),
                node.path("most_mb").asLong(16) << 20,
                millis(node, "calm_ms", 5_000),
                node.path("catch_up_kb_per_s").asLong(2_048) << 10,
                parseClaimModes(node),
                node.has("versions") ? parseRollout(node.get("versions")) : null);
    }

    private static OperatorConfig.Audit parseAudit(JsonNode node) {
        return new OperatorConfig.Audit(
                Path.of(node.get("folder").asText()),
                millis(node, "span_ms", 60_000),
                node.path("most_mb").asLong(64) << 20,
                node.path("runs").asBoolean(true));
    }

    private static RolloutSettings parseRollout(JsonNode node) {
        return new RolloutSettings(
                Path.of(node.get("folder").asText()),
                millis(node, "lease_ms", 10_000),
                millis(node, "grace_ms", 30_000),
                millis(node, "watch_ms", 60_000),
                millis(node, "patience_ms", 30_000),
                node.path("on_harm").asText("take-back").equals("take-back"));
    }

    /** Parses a version that the fleet rolls out: an operators' file that has only pools. */
    public static List<OperatorConfig.Pool> parseVersion(String text, String name) {
        OperatorConfig operator = parse(text, name);
        boolean isInvalid =
                operator.metrics().isPresent()
                        || operator.durability().isPresent()
                        || operator.uwsgi().isPresent()
                        || operator.fleet().isPresent()
                        || operator.jsonLog()
                        || operator.audit().isPresent()
                        || operator.pools().isEmpty();
        if (isInvalid) {
            throw new MalformedException(name + ": a version has pools, and nothing else");
        }
        return operator.pools();
    }

    private static ClaimModeSettings parseClaimModes(JsonNode node) {
        Map<String, ClaimMode> byOperation = new HashMap<>();
        node.path("modes")
                .properties()
                .forEach(
                        entry ->
                                byOperation.put(
                                        entry.getKey(), parseClaimMode(entry.getValue().asText())));
        return new ClaimModeSettings(
                parseClaimMode(node.path("mode").asText("fleet")), byOperation);
    }

    private static ClaimMode parseClaimMode(String text) {
        return ClaimMode.fromExternalName(text);
    }

    private static PeerAddress parsePeerAddress(JsonNode node) {
        try {
            return PeerAddress.parse(node.asText());
        } catch (IllegalArgumentException e) {
            throw new MalformedException("fleet: invalid address: '" + node.asText() + "'");
        }
    }

    /**
     * Parses the simulated faults of the clock and disk. They are only allowed in drills, since
     * elsewhere nobody would notice that they are set.
     */
    private static OperatorConfig.SimulatedFaults parseSimulatedFaults(JsonNode drill) {
        if (drill.isMissingNode()) {
            return OperatorConfig.SimulatedFaults.NONE;
        }
        if (System.getenv("OCHRETILLER_DRILL") == null) {
            throw new MalformedException("drill: only drills may set clock_ms and disk_fault");
        }
        return new OperatorConfig.SimulatedFaults(
                Duration.ofMillis(drill.path("clock_ms").asLong(0)),
                drill.has("disk_fault") ? Path.of(drill.get("disk_fault").asText()) : null);
    }

    private static OperatorConfig.Uwsgi parseUwsgi(JsonNode node) {
        List<OperatorConfig.Route> routes = new ArrayList<>();
        for (JsonNode route : node.get("routes")) {
            routes.add(
                    new OperatorConfig.Route(
                            route.path("method").asText("GET"),
                            route.get("path").asText(),
                            route.get("operation").asText(),
                            route.path("kb").asDouble(20)));
        }
        return new OperatorConfig.Uwsgi(
                parseAddress(node.get("listen").asText()),
                List.copyOf(routes),
                node.path("caller_var").asText("REMOTE_ADDR"),
                node.path("time_var").asText("HTTP_X_REQUEST_START"));
    }

    private static OperatorConfig.Durability parseDurability(JsonNode node) {
        long maxBytes = node.path("most_mb").asLong(64) << 20;
        return new OperatorConfig.Durability(
                Path.of(node.get("folder").asText()),
                node.path("most_entries").asInt(50_000),
                maxBytes,
                (int)
                        (node.path("segment_kb")
                                        .asLong(
                                                Math.max(
                                                        64,
                                                        Math.min(maxBytes / 16, 64 << 20) >> 10))
                                << 10),
                millis(node, "roll_after_ms", 5_000),
                node.path("compact_kb_per_s").asLong(8 << 10) << 10,
                millis(node, "mark_wait_ms", 1_000),
                millis(node, "answer_wait_ms", 1_000),
                millis(node, "stall_ms", 250),
                millis(node, "probe_ms", 200),
                millis(node, "most_probe_ms", 5_000));
    }

    private static Duration millis(JsonNode node, String name, long defaultMillis) {
        return Duration.ofMillis(node.path(name).asLong(defaultMillis));
    }
}
