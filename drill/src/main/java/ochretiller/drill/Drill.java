package ochretiller.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.FleetScenarioReader;
import ochretiller.settings.MalformedException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The command line of the drills. Exit codes: 0 if all rules hold, 1 if a rule was broken, 2 for
 * invalid arguments or an invalid script, 4 for a void run: its scenario could not be carried out.
 */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description =
                "Start several packaged servers, put faults on them and between them, check what"
                        + " came of it.")
public final class Drill implements Runnable {
    private static final int EXIT_RULE_BROKEN = 1;
    private static final int EXIT_INVALID_INPUT = 2;
    private static final int EXIT_VOID = 4;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Play a script on processes; from the repository's root, the package built.")
    int run(
            @Parameters(description = "The script, in JSON5; those of the emulator's fleets.")
                    Path file,
            @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(
                            names = "--members",
                            description = "As many members as this, instead of the script's.")
                    Integer members,
            @Option(names = "--out", description = "A folder for history, picture, logs and table.")
                    Path out,
            @Option(
                            names = "--no-view",
                            description = "The same without a fleet: what callers get then.")
                    boolean noView,
            @Option(
                            names = "--no-copies",
                            description =
                                    "Each server for itself, with the same repeats anywhere: double"
                                            + " runs are counted.")
                    boolean noCopies,
            @Option(
                            names = {"-q", "--quiet"},
                            description = "No progress on standard error.")
                    boolean quiet)
            throws Exception {
        FleetScenario original = FleetScenarioReader.read(file);
        FleetScenario scenario = members == null ? original : original.withMembers(members);
        Path folder = out != null ? out : Files.createTempDirectory("drill");
        HistoryChecker checker = runScenario(scenario, seed, folder, !noView, !noCopies, quiet);
        return report(scenario, seed, checker, noView);
    }

    static HistoryChecker runScenario(
            FleetScenario scenario,
            long seed,
            Path folder,
            boolean fleetEnabled,
            boolean replicationEnabled,
            boolean quiet)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        try (ScenarioRunner runner =
                new ScenarioRunner(
                        scenario,
                        seed,
                        folder,
                        fleetEnabled,
                        replicationEnabled,
                        line -> {
                            if (!quiet) {
                                System.err.println(line);
                            }
                        })) {
            History history = runner.run();
            history.write(folder.resolve("history.jsonl"));
            MembershipChart.write(folder.resolve("views.svg"), scenario.name(), history.snapshot());
            return new HistoryChecker(scenario, history.snapshot());
        }
    }

    private static int report(
            FleetScenario scenario, long seed, HistoryChecker checker, boolean noView) {
        System.out.printf(
                Locale.ROOT,
                "%s, seed %d%s: settled %.1f s, false verdicts %d, changes of one at most %d, known"
                    + " p50 %.0f p99 %.0f ms, asked %d, value %.4f, lost with their connection %d,"
                    + " throttled %d, run twice %d%n",
                scenario.name(),
                seed,
                noView ? ", without a view" : "",
                checker.settleTimeS(),
                checker.falseVerdicts(),
                checker.maxVerdictsPerPair(),
                checker.detectionMs(50),
                checker.detectionMs(99),
                checker.requestCount(),
                checker.valueShare(),
                checker.lostRequests(),
                checker.throttledRequests(),
                checker.tokensRunTwice());
        if (checker.isVoid()) {
            System.out.println(
                    "void: the script could not be carried out; this run counts for nothing");
            return EXIT_VOID;
        }
        List<String> violations = checker.violations();
        violations.stream().limit(20).forEach(line -> System.out.println("broken: " + line));
        if (!violations.isEmpty()) {
            System.out.println("play it again with --seed " + seed);
        }
        return violations.isEmpty() ? 0 : EXIT_RULE_BROKEN;
    }

    @Command(
            name = "steps",
            mixinStandardHelpOptions = true,
            description =
                    "One keyed invocation after the other whose server is killed or paused at each"
                            + " step of it; its repeats go to each server.")
    int steps(
            @Option(names = "--out", description = "A folder for stores and logs.") Path out,
            @Option(
                            names = "--no-copies",
                            description =
                                    "Each server for itself: the steps have to be seen to break.")
                    boolean noCopies)
            throws Exception {
        Path folder = out != null ? out : Files.createTempDirectory("steps");
        try (FailoverScenario scenario =
                new FailoverScenario(folder, !noCopies, System.err::println)) {
            List<String> violations = scenario.run();
            violations.forEach(line -> System.out.println("broken: " + line));
            if (violations.isEmpty()) {
                System.out.println("each step came out as it has to");
            }
            return violations.isEmpty() ? 0 : EXIT_RULE_BROKEN;
        }
    }

    @Command(
            name = "versions",
            mixinStandardHelpOptions = true,
            description =
                    "Versions that are brought out to packaged servers under load: one is paused"
                            + " through it, its publisher is killed, one does harm.")
    int versions(@Option(names = "--out", description = "A folder for stores and logs.") Path out)
            throws Exception {
        Path folder = out != null ? out : Files.createTempDirectory("versions");
        try (RolloutScenario scenario = new RolloutScenario(folder, System.err::println)) {
            List<String> violations = scenario.run();
            violations.forEach(line -> System.out.println("broken: " + line));
            if (violations.isEmpty()) {
                System.out.println("each step came out as it has to");
            }
            return violations.isEmpty() ? 0 : EXIT_RULE_BROKEN;
        }
    }

    @Command(
            name = "cost",
            mixinStandardHelpOptions = true,
            description =
                    "What copies cost keyed and idempotent invocations, beside servers without"
                            + " them.")
    int cost(
            @Option(names = "--members", defaultValue = "3,8", split = ",") List<Integer> members,
            @Option(names = "--callers", defaultValue = "4", description = "For each server.")
                    int callers,
            @Option(names = "--seconds", defaultValue = "8") int seconds,
            @Option(
                            names = "--pause-ms",
                            defaultValue = "20",
                            description = "Between two of a caller; 0 for full load.")
                    int pauseMs,
            @Option(
                            names = "--links",
                            description =
                                    "With the drill's links between the servers, as drills have"
                                            + " them.")
                    boolean links,
            @Option(
                            names = "--kinds",
                            defaultValue = "none,memory,disk",
                            split = ",",
                            description = "Of ${COMPLETION-CANDIDATES}.")
                    List<ReplicationCost.Kind> kinds,
            @Option(
                            names = "--slow-ms",
                            defaultValue = "15",
                            description = "By how much the words of a slow keeper come late.")
                    double slowMs,
            @Option(names = "--out", description = "A file for the table.") Path out)
            throws Exception {
        List<String> rows = new ArrayList<>(List.of(ReplicationCost.CSV_HEADER));
        System.out.println(ReplicationCost.CSV_HEADER);
        for (int size : members) {
            for (ReplicationCost.Kind kind : kinds) {
                ReplicationCost cost =
                        new ReplicationCost(
                                new ReplicationCost.Workload(
                                        size, callers, seconds, pauseMs, links, slowMs),
                                System.err::println);
                String row = cost.measure(Files.createTempDirectory("cost"), kind);
                System.out.println(row);
                rows.add(row);
            }
        }
        if (out != null) {
            Files.write(out, rows);
        }
        return 0;
    }

    @Command(
            name = "example",
            mixinStandardHelpOptions = true,
            description =
                    "Three servers that find one another; one is killed with SIGKILL, and what the"
                            + " others see is shown.")
    int example(
            @Option(
                            names = "--copies",
                            description =
                                    "Servers that keep copies: the repeat of a keyed request at"
                                            + " another one.")
                    boolean copies)
            throws Exception {
        if (copies) {
            try (FailoverScenario scenario =
                    new FailoverScenario(
                            Files.createTempDirectory("example"), true, System.err::println)) {
                return scenario.runExample(System.out::println) ? 0 : EXIT_RULE_BROKEN;
            }
        }
        FleetScenario scenario =
                FleetScenarioReader.parse(
                        """
                        { name: 'example', seconds: 12, members: 3, zones: 3, incidents: [ { at_s: 5, what: 'kill', who: '3' } ],
                          expect: { settled_s: 10, false_verdicts: 0 } }\
                        """,
                        "example");
        Path folder = Files.createTempDirectory("drill");
        HistoryChecker checker = runScenario(scenario, 1, folder, true, true, false);
        Map<Integer, String> lastViews = new TreeMap<>();
        Map<String, String> names = new HashMap<>();
        for (History.Event event : History.read(folder.resolve("history.jsonl"))) {
            if (event.what() == History.EventType.STARTED) {
                names.put(event.id(), event.text());
            }
            if (event.what() == History.EventType.KILLED) {
                System.out.printf(
                        Locale.ROOT, "%5.1f s  m%d is killed%n", event.atS(), event.slot());
            }
            if (event.what() != History.EventType.VIEW) {
                continue;
            }
            Map<String, String> view = new TreeMap<>();
            event.view()
                    .forEach(
                            (incarnation, state) ->
                                    view.put(names.getOrDefault(incarnation, incarnation), state));
            if (!view.toString().equals(lastViews.put(event.slot(), view.toString()))) {
                System.out.printf(
                        Locale.ROOT, "%5.1f s  m%d sees %s%n", event.atS(), event.slot(), view);
            }
        }
        System.out.println("a picture of who sees whom: " + folder.resolve("views.svg"));
        return report(scenario, 1, checker, false);
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Check a history that was kept.")
    int check(
            @Parameters(description = "The script that was played.") Path script,
            @Parameters(description = "The history.") Path history,
            @Option(names = "--members") Integer members)
            throws IOException {
        FleetScenario scenario = FleetScenarioReader.read(script);
        return report(
                members == null ? scenario : scenario.withMembers(members),
                0,
                new HistoryChecker(
                        members == null ? scenario : scenario.withMembers(members),
                        History.read(history)),
                false);
    }

    public static void main(String[] arguments) {
        CommandLine commandLine = new CommandLine(new Drill());
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler(
                (exception, command, parsed) -> {
                    if (!(exception instanceof MalformedException)) {
                        throw exception;
                    }
                    System.err.println("drill: " + exception.getMessage());
                    return EXIT_INVALID_INPUT;
                });
        System.exit(commandLine.execute(arguments));
    }
}
