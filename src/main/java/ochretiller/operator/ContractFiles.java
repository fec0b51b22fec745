package ochretiller.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import ochretiller.budgets.GuaranteedRate;
import ochretiller.budgets.TeamId;
import ochretiller.contracts.Contract;
import ochretiller.contracts.Contracts;
import ochretiller.json5.Json5;
import ochretiller.settings.MalformedException;

/**
 * Reads a folder of contracts: {@code broker.json5} has the capacity of the broker, each other
 * JSON5 file the contract of one team.
 */
public final class ContractFiles {
    private static final String BROKER_FILE = "broker.json5";
    private static final Json5 CONTRACT_FORMAT =
            new Json5(ContractFiles.class, "contract.schema.json");
    private static final Json5 BROKER_FORMAT = new Json5(ContractFiles.class, "broker.schema.json");

    /** Maximum contracts in one folder. */
    private static final int MAX_CONTRACTS = 10_000;

    /** Default burst of work and default burst of retries, in seconds at the guaranteed rate. */
    private static final double DEFAULT_BURST_SECONDS = 0.1;

    private static final double DEFAULT_RETRY_RATIO = 0.1;

    private ContractFiles() {}

    /**
     * Reads and checks all contracts. The faults of the files, or of the contracts as a whole, are
     * reported as one {@link MalformedException} with one line per fault.
     */
    public static Contracts read(Path folder) {
        List<Path> files;
        try (Stream<Path> entries = Files.list(folder)) {
            files =
                    entries.filter(
                                    file ->
                                            file.toString().endsWith(".json5")
                                                    && !file.getFileName()
                                                            .toString()
                                                            .equals(BROKER_FILE))
                            .sorted()
                            .toList();
        } catch (IOException e) {
            throw new MalformedException("cannot read the folder of contracts " + folder);
        }
        if (files.size() > MAX_CONTRACTS) {
            throw new MalformedException(folder + " has more than " + MAX_CONTRACTS + " contracts");
        }
        double capacity =
                BROKER_FORMAT
                        .read(folder.resolve(BROKER_FILE), "the broker's file")
                        .get("work_per_s")
                        .asDouble();
        List<Contract> contracts = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        Set<TeamId> teams = new HashSet<>();
        for (Path file : files) {
            try {
                Contract contract = parseContract(CONTRACT_FORMAT.read(file, "the contract"));
                if (teams.add(contract.team())) {
                    contracts.add(contract);
                } else {
                    faults.add(file + ": a second contract of " + contract.team());
                }
            } catch (MalformedException e) {
                faults.add(e.getMessage());
            }
        }
        Contracts result = Contracts.of(capacity, contracts);
        if (faults.isEmpty()) {
            result.faults().forEach(fault -> faults.add(folder + ": " + fault));
        }
        if (!faults.isEmpty()) {
            throw new MalformedException(String.join("\n", faults));
        }
        return result;
    }

    private static Contract parseContract(JsonNode root) {
        List<String> clientAddresses = new ArrayList<>();
        root.path("known").forEach(node -> clientAddresses.add(node.asText()));
        List<Contract.Service> services = new ArrayList<>();
        root.path("publishes")
                .forEach(
                        node ->
                                services.add(
                                        new Contract.Service(
                                                node.get("service").asText(),
                                                node.get("pool").asText(),
                                                Duration.ofMillis(
                                                        node.get("objective_ms").asLong()))));
        List<Contract.Call> calls = new ArrayList<>();
        root.path("calls")
                .forEach(
                        node ->
                                calls.add(
                                        new Contract.Call(
                                                node.get("service").asText(),
                                                node.get("work_per_s").asDouble(),
                                                node.path("in_flight").asInt(100),
                                                Duration.ofMillis(
                                                        node.get("objective_ms").asLong()),
                                                Duration.ofMillis(node.get("timeout_ms").asLong()),
                                                node.path("value").asDouble(1))));
        JsonNode guarantee = root.get("promise");
        double rate = guarantee.get("work_per_s").asDouble();
        return new Contract(
                new TeamId(root.get("team").asText()),
                root.get("version").asInt(),
                List.copyOf(clientAddresses),
                List.copyOf(services),
                List.copyOf(calls),
                new GuaranteedRate(
                        rate,
                        guarantee.path("burst").asDouble(rate * DEFAULT_BURST_SECONDS),
                        guarantee.path("weight").asDouble(rate),
                        guarantee.path("retry_share").asDouble(DEFAULT_RETRY_RATIO),
                        guarantee.path("retry_burst").asDouble(rate * DEFAULT_BURST_SECONDS)));
    }
}
