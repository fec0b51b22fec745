package ochretiller.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import ochretiller.emulator.experiment.ConfidenceInterval;
import ochretiller.emulator.experiment.Experiment;
import ochretiller.emulator.experiment.ParallelRunner;
import ochretiller.emulator.experiment.Report;
import ochretiller.emulator.faultsearch.FaultSearch;
import ochretiller.emulator.scenario.Scenario;
import ochretiller.emulator.scenario.ScenarioReader;
import ochretiller.emulator.simulation.Simulation;
import ochretiller.emulator.simulation.SimulationResult;
import ochretiller.settings.MalformedException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Command line of the emulator. Exit codes: 0 for success, 1 for a missed expectation or a broken
 * rule, 2 for invalid arguments or an invalid script.
 */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        subcommands = FleetSimulateCommand.class,
        description = "Play incidents in virtual time round the server's decisions.")
final class SimulateCommand implements Runnable {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_INVALID = 2;
    private static final String SCRIPT_DESCRIPTION = "The script, in JSON5.";

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    /** Options of the commands that run an experiment. */
    static final class ExperimentOptions {
        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "First seed; ${DEFAULT-VALUE} by default.")
        long seed;

        @Option(
                names = "--seeds",
                defaultValue = "10",
                description = "Most seeds; ${DEFAULT-VALUE} by default.")
        int seeds;

        @Option(
                names = "--within",
                defaultValue = "0",
                description = "Stop once half the interval of the value share is no wider.")
        double within;

        @Option(names = "--cores", description = "Runs at once; by default one a core.")
        Integer cores;

        @Option(names = "--out", description = "A folder for the report.")
        Path out;

        int cores() {
            return cores == null ? Runtime.getRuntime().availableProcessors() : cores;
        }
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Read a script and say whether it is good.")
    int check(@Parameters(description = SCRIPT_DESCRIPTION) Path script) {
        System.out.println("the script " + ScenarioReader.read(script).name() + " is good");
        return 0;
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Play a script with some seeds.")
    int run(
            @Parameters(description = SCRIPT_DESCRIPTION) Path script,
            @CommandLine.Mixin ExperimentOptions options)
            throws Exception {
        return experiment(List.of("as written"), List.of(ScenarioReader.read(script)), options);
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description =
                    "Play a script beside others, or beside itself with other settings, on the same"
                            + " seeds.")
    int compare(
            @Parameters(description = SCRIPT_DESCRIPTION) Path script,
            @Option(
                            names = "--with",
                            description =
                                    "What a variant has: fleet.cores=4,familyInfo.advert=window;"
                                            + " may be given often.")
                    List<String> with,
            @Option(names = "--beside", description = "Another script; may be given often.")
                    List<Path> beside,
            @CommandLine.Mixin ExperimentOptions options)
            throws Exception {
        Scenario first = ScenarioReader.read(script);
        List<String> names = new ArrayList<>(List.of(first.name()));
        List<Scenario> scenarios = new ArrayList<>(List.of(first));
        for (String settings : with == null ? List.<String>of() : with) {
            names.add(settings);
            scenarios.add(ScenarioReader.variant(script, settings));
        }
        for (Path other : beside == null ? List.<Path>of() : beside) {
            scenarios.add(ScenarioReader.read(other));
            names.add(scenarios.get(scenarios.size() - 1).name());
        }
        if (scenarios.size() < 2) {
            throw new MalformedException("nothing to compare with: --with or --beside is required");
        }
        return experiment(names, scenarios, options);
    }

    @Command(
            name = "sweep",
            mixinStandardHelpOptions = true,
            description = "Play a script with several values of one setting.")
    int sweep(
            @Parameters(description = SCRIPT_DESCRIPTION) Path script,
            @Option(
                            names = "--setting",
                            required = true,
                            description =
                                    "Its name: gateways.choice, or one of the server's settings.")
                    String setting,
            @Option(names = "--values", required = true, split = ",", description = "Its values.")
                    List<String> values,
            @CommandLine.Mixin ExperimentOptions options)
            throws Exception {
        List<String> names = new ArrayList<>();
        List<Scenario> scenarios = new ArrayList<>();
        for (String value : values) {
            names.add(setting + '=' + value);
            scenarios.add(ScenarioReader.variant(script, setting + '=' + value));
        }
        return experiment(names, scenarios, options);
    }

    private static int experiment(
            List<String> names, List<Scenario> scenarios, ExperimentOptions options)
            throws Exception {
        Experiment experiment =
                new Experiment(
                        scenarios,
                        options.seed,
                        options.seeds,
                        options.within,
                        SimulationResult::valueShare);
        long startNanos = System.nanoTime();
        try (ParallelRunner runner = new ParallelRunner(options.cores())) {
            int seedsPerBatch = Math.max(1, options.cores() / scenarios.size());
            experiment.run(
                    runner,
                    seedsPerBatch,
                    progress -> {
                        double elapsedS = (System.nanoTime() - startNanos) / 1e9;
                        double remainingS =
                                elapsedS
                                        / Math.max(1, experiment.seedCount())
                                        * (options.seeds - experiment.seedCount());
                        System.err.printf(
                                Locale.ROOT,
                                "%s, %.0f s spent, at most %.0f s left%n",
                                progress,
                                elapsedS,
                                remainingS);
                    });
        }
        int missedCount = 0;
        for (int variant = 0; variant < names.size(); variant++) {
            missedCount += printVariant(System.out, experiment, names, variant, options.seed);
        }
        if (options.out != null) {
            new Report(options.out, experiment, names, scenarios, options.seed).write();
        }
        return missedCount == 0 ? 0 : EXIT_FAILED;
    }

    private static int printVariant(
            PrintStream out, Experiment experiment, List<String> names, int variant, long seed) {
        out.println(names.get(variant));
        Report.METRICS.forEach(
                (name, figure) -> {
                    ConfidenceInterval difference =
                            variant == 0 ? null : experiment.difference(variant, figure);
                    out.printf(
                            Locale.ROOT,
                            "  %-14s %s%s%n",
                            name,
                            experiment.estimate(variant, figure),
                            difference == null
                                    ? ""
                                    : String.format(
                                            Locale.ROOT,
                                            "   difference %+.4f ± %.4f, chance %.3f",
                                            difference.mean(),
                                            difference.halfWidth(),
                                            experiment.pValue(variant, figure)));
                });
        int missedCount = 0;
        for (int i = 0; i < experiment.seedCount(); i++) {
            for (String line : experiment.results(variant).get(i).missedExpectations()) {
                out.println("  missed, seed " + (seed + i) + ": " + line);
                missedCount++;
            }
        }
        return missedCount;
    }

    @Command(
            name = "replay",
            mixinStandardHelpOptions = true,
            description = "Play one seed and tell all that it shows.")
    int replay(
            @Parameters(description = SCRIPT_DESCRIPTION) Path file,
            @Option(names = "--seed", required = true) long seed) {
        Scenario scenario = ScenarioReader.read(file);
        long startNanos = System.nanoTime();
        SimulationResult outcome = new Simulation(scenario, seed).run();
        double elapsedS = (System.nanoTime() - startNanos) / 1e9;
        Report.METRICS.forEach(
                (name, figure) ->
                        System.out.printf(
                                Locale.ROOT, "%-14s %.4f%n", name, figure.applyAsDouble(outcome)));
        outcome.byOperation()
                .forEach(
                        (name, counts) ->
                                System.out.printf(
                                        Locale.ROOT,
                                        "%-14s asked %d, succeeded %d, throttled %d, errored %d,"
                                                + " timed out %d, value %.3f%n",
                                        name,
                                        counts.requests,
                                        counts.succeeded,
                                        counts.throttled,
                                        counts.errored,
                                        counts.timedOut,
                                        counts.offered == 0 ? 1 : counts.earned / counts.offered));
        System.out.printf(
                Locale.ROOT,
                "read %d, answered %d, run %d; calls %d, falls of the records service %d%n",
                outcome.rules().reads(),
                outcome.rules().answers(),
                outcome.rules().runs(),
                outcome.recordsServiceCalls(),
                outcome.recordsServiceOutages());
        System.out.printf(
                Locale.ROOT,
                "%d events, %.0f times real time%n",
                outcome.executedEvents(),
                scenario.seconds() / elapsedS);
        outcome.rules().violations().forEach(System.out::println);
        return outcome.missedExpectations().isEmpty() ? 0 : EXIT_FAILED;
    }

    @Command(
            name = "hunt",
            mixinStandardHelpOptions = true,
            description =
                    "Draw incidents round a script's fleet, hunt for broken rules and the greatest"
                            + " loss, cut the find down.")
    int hunt(
            @Parameters(description = SCRIPT_DESCRIPTION) Path file,
            @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(names = "--tries", defaultValue = "100") int tries,
            @Option(names = "--cores", description = "Runs at once; by default one a core.")
                    Integer atOnce,
            @Option(names = "--save", description = "Where the found script goes.") Path save)
            throws Exception {
        Scenario base = ScenarioReader.read(file);
        int cores = atOnce == null ? Runtime.getRuntime().availableProcessors() : atOnce;
        try (ParallelRunner runner = new ParallelRunner(cores)) {
            FaultSearch search = new FaultSearch(runner, base, seed);
            FaultSearch.Finding finding = search.search(tries, cores * 2, System.err::println);
            FaultSearch.Finding reduced = search.shrink(finding, System.err::println);
            System.out.printf(
                    Locale.ROOT,
                    "%s, seed %d, value %.4f%n",
                    reduced.ruleBroken()
                            ? "a rule is broken: " + reduced.violation()
                            : "greatest loss",
                    reduced.seed(),
                    reduced.valueShare());
            for (Scenario.Incident each : reduced.scenario().incidents()) {
                System.out.printf(
                        Locale.ROOT,
                        "  { at_s: %s, for_s: %s, what: '%s', share: %s, strength: %s },%n",
                        each.atS(),
                        each.forS(),
                        each.what(),
                        each.share(),
                        each.strength());
            }
            if (save != null) {
                save(file, reduced, save);
            }
            return reduced.ruleBroken() ? EXIT_FAILED : 0;
        }
    }

    @Command(
            name = "sizes",
            mixinStandardHelpOptions = true,
            description =
                    "Events a second and memory by the size of the fleet, on one core; as CSV.")
    int sizes(
            @Parameters(description = SCRIPT_DESCRIPTION) Path file,
            @Option(names = "--boxes", split = ",", defaultValue = "10,100,1000")
                    List<Integer> boxes) {
        Scenario base = ScenarioReader.read(file);
        System.out.println("boxes,events,events a second,times real time,MB");
        for (int pass = 0; pass < 2; pass++) { // the first pass warms the JIT up
            for (int count : boxes) {
                Scenario scenario = base.scaledBy((double) count / base.fleet().boxes());
                long startNanos = System.nanoTime();
                Simulation simulation = new Simulation(scenario, 1);
                SimulationResult outcome = simulation.run();
                double elapsedS = (System.nanoTime() - startNanos) / 1e9;
                System.gc();
                long usedBytes =
                        Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
                if (pass > 0) {
                    System.out.printf(
                            Locale.ROOT,
                            "%d,%d,%.0f,%.2f,%d%n",
                            count,
                            outcome.executedEvents(),
                            outcome.executedEvents() / elapsedS,
                            scenario.seconds() / elapsedS,
                            usedBytes >> 20);
                }
                if (simulation.nowSeconds() < scenario.seconds()) {
                    throw new IllegalStateException(
                            "simulation ended early"); // also keeps it on the heap until here
                }
            }
        }
        return 0;
    }

    /** Writes a copy of the script file in which the found incidents replace its own. */
    private static void save(Path file, FaultSearch.Finding finding, Path to) throws IOException {
        ObjectMapper mapper =
                JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();
        Map<String, Object> root = ScenarioReader.members(file);
        List<Object> incidents = new ArrayList<>();
        for (Scenario.Incident each : finding.scenario().incidents()) {
            Map<String, Object> incident = new LinkedHashMap<>();
            incident.put("at_s", each.atS());
            incident.put("for_s", each.forS());
            incident.put("what", each.what());
            incident.put("share", each.share());
            incident.put("strength", each.strength());
            incidents.add(incident);
        }
        root.put("incidents", incidents);
        Files.writeString(
                to,
                "// Found by a hunt; replay with --seed "
                        + finding.seed()
                        + ".\n"
                        + mapper.writeValueAsString(root)
                        + "\n");
    }

    /** Runs a command and returns its exit code; prints invalid input in one line to stderr. */
    static int execute(String... args) {
        CommandLine commandLine = new CommandLine(new SimulateCommand());
        commandLine.setExecutionExceptionHandler(
                (exception, command, parsed) ->
                        reportInvalidInput(
                                exception,
                                () -> {
                                    throw exception;
                                }));
        return commandLine.execute(args);
    }

    private static int reportInvalidInput(Exception exception, Callable<Integer> rethrow)
            throws Exception {
        if (!(exception instanceof MalformedException)) {
            return rethrow.call();
        }
        System.err.println("rehearse: " + exception.getMessage());
        return EXIT_INVALID;
    }

    public static void main(String[] args) {
        System.exit(execute(args));
    }
}
