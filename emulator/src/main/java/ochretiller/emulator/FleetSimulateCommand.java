package ochretiller.emulator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import ochretiller.emulator.fleet.ClaimStateModel;
import ochretiller.emulator.fleet.FleetOutcome;
import ochretiller.emulator.fleet.FleetScenario;
import ochretiller.emulator.fleet.FleetScenarioReader;
import ochretiller.emulator.fleet.MembershipMeasurement;
import ochretiller.emulator.fleet.MembershipSimulation;
import ochretiller.emulator.fleet.MembershipStateModel;
import ochretiller.emulator.fleet.RandomScenarios;
import ochretiller.emulator.fleet.ReplicationMeasurement;
import ochretiller.emulator.fleet.ReplicationSimulation;
import ochretiller.emulator.fleet.RolloutSimulation;
import ochretiller.emulator.fleet.StateSpaceExplorer;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands that simulate fleets; their exit codes are those of {@link SimulateCommand}. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Play faults on a fleet of servers and between them.")
final class FleetSimulateCommand implements Runnable {
    private static final int EXIT_FAILED = 1;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is needed");
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Play a script with some seeds.")
    int run(
            @Parameters(description = "The script, in JSON5.") Path file,
            @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(names = "--seeds", defaultValue = "10") int seeds,
            @Option(
                            names = "--members",
                            description = "As many members as this, instead of the script's.")
                    Integer members)
            throws Exception {
        FleetScenario read = FleetScenarioReader.read(file);
        FleetScenario scenario = members == null ? read : read.withMembers(members);
        List<Callable<FleetOutcome>> runs = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            long runSeed = seed + i;
            runs.add(() -> new MembershipSimulation(scenario, runSeed, true, 0).run());
        }
        int missedCount = 0;
        int index = 0;
        for (Future<FleetOutcome> future : submitAll(runs)) {
            FleetOutcome outcome = future.get();
            System.out.printf(
                    Locale.ROOT,
                    "seed %d: settled %.1f s, verdicts %d, false %d, changes of one at most %d,"
                        + " known p50 %.0f p99 %.0f ms, packets a member a second %.1f, bytes %.0f,"
                        + " most packets %d, refuted %d of %d suspicions, twins %d%n",
                    seed + index,
                    outcome.settleTimeS,
                    outcome.verdicts,
                    outcome.falseVerdicts,
                    outcome.maxVerdictsPerPair,
                    outcome.detectionMs(50),
                    outcome.detectionMs(99),
                    outcome.packets / outcome.memberSeconds,
                    outcome.bytes / outcome.memberSeconds,
                    outcome.maxPacketsPerSecond,
                    outcome.refutations,
                    outcome.suspicions,
                    outcome.duplicateNames);
            List<String> missedExpectations = outcome.unmetExpectations(scenario.expect());
            for (String line : missedExpectations) {
                System.out.println("  missed: " + line);
            }
            outcome.notes.forEach(line -> System.out.println("  " + line));
            missedCount += missedExpectations.size();
            index++;
        }
        return missedCount == 0 ? 0 : EXIT_FAILED;
    }

    @Command(
            name = "drawn",
            mixinStandardHelpOptions = true,
            description =
                    "Play scripts drawn by chance, 5 to 50 members each; a seed that fails is"
                            + " printed, and --seed N --seeds 1 plays it again.")
    int drawn(
            @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(names = "--seeds", defaultValue = "1000") int seeds,
            @Option(
                            names = "--settled",
                            defaultValue = "30",
                            description = "Seconds within which views must settle.")
                    double settled)
            throws Exception {
        List<Callable<FleetOutcome>> runs = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            long runSeed = seed + i;
            runs.add(
                    () ->
                            new MembershipSimulation(
                                            RandomScenarios.forMembership(runSeed, settled),
                                            runSeed)
                                    .run());
        }
        List<Double> settleTimesS = new ArrayList<>();
        int failed = 0;
        int falseVerdicts = 0;
        int index = 0;
        for (Future<FleetOutcome> future : submitAll(runs)) {
            FleetOutcome outcome = future.get();
            falseVerdicts += outcome.falseVerdicts;
            settleTimesS.add(outcome.settleTimeS);
            if (outcome.settleTimeS > settled) {
                failed++;
                System.out.printf(
                        Locale.ROOT,
                        "seed %d: settled %.1f s%n",
                        seed + index,
                        outcome.settleTimeS);
                outcome.notes.forEach(line -> System.out.println("  " + line));
            }
            if (seeds == 1) {
                System.out.println(
                        RandomScenarios.forMembership(seed, settled) + "\n" + outcome.notes);
            }
            if (++index % 1000 == 0) {
                System.err.println(index + " of " + seeds);
            }
        }
        settleTimesS.sort(null);
        System.out.printf(
                Locale.ROOT,
                "%d schedules, %d unsettled; settled p50 %.1f s, p99 %.1f s, most %.1f s; %d false"
                        + " verdicts%n",
                seeds,
                failed,
                settleTimesS.get(seeds / 2),
                settleTimesS.get((int) Math.min(seeds - 1L, seeds * 99L / 100)),
                settleTimesS.get(seeds - 1),
                falseVerdicts);
        return failed == 0 ? 0 : EXIT_FAILED;
    }

    @Command(
            name = "copies",
            mixinStandardHelpOptions = true,
            description =
                    "Keyed invocations and their repeats anywhere in a fleet that keeps claims for"
                            + " one another; scripts drawn by chance.")
    int copies(
            @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(names = "--seeds", defaultValue = "200") int seeds,
            @Option(names = "--tokens", defaultValue = "150") int tokens,
            @Option(
                            names = "--old-disks",
                            defaultValue = "0.3",
                            description =
                                    "Share of starts in every other schedule that find an old image"
                                            + " of their disk.")
                    double oldDisks,
            @Option(
                            names = "--trace",
                            paramLabel = "TOKEN",
                            description = "Print all that is said of this token; with one seed.")
                    String trace,
            @Option(
                            names = "--switch",
                            paramLabel = "SECONDS",
                            description =
                                    "From then on the servers claim no more, one after the other.")
                    Double modeSwitchS,
            @Option(
                            names = "--server-mode",
                            description = "Each server for itself, as without a fleet.")
                    boolean isServerMode)
            throws Exception {
        List<Callable<ReplicationSimulation.Outcomes>> runs = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            long runSeed = seed + i;
            runs.add(
                    () ->
                            new ReplicationSimulation(
                                            RandomScenarios.forReplication(runSeed),
                                            runSeed,
                                            runSeed % 3 * 0.4,
                                            runSeed / 3 % 2 * oldDisks,
                                            runSeed % 4 == 0,
                                            !isServerMode)
                                    .trace(trace)
                                    .withModeSwitch(
                                            modeSwitchS == null
                                                    ? Double.NEGATIVE_INFINITY
                                                    : modeSwitchS,
                                            runSeed % 5 * 0.5)
                                    .run(tokens, 25));
        }
        ReplicationSimulation.Outcomes total = new ReplicationSimulation.Outcomes();
        int brokenCount = 0;
        int index = 0;
        for (Future<ReplicationSimulation.Outcomes> future : submitAll(runs)) {
            ReplicationSimulation.Outcomes outcomes = future.get();
            total.attempts += outcomes.attempts;
            total.succeeded += outcomes.succeeded;
            total.replayed += outcomes.replayed;
            total.throttled += outcomes.throttled;
            total.errored += outcomes.errored;
            total.fingerprintMismatches += outcomes.fingerprintMismatches;
            total.unanswered += outcomes.unanswered;
            total.runs += outcomes.runs;
            total.conflicts += outcomes.conflicts;
            total.staleDisksFound += outcomes.staleDisksFound;
            total.runsWithoutClaim += outcomes.runsWithoutClaim;
            total.excusedReruns += outcomes.excusedReruns;
            total.staleDisksRestored += outcomes.staleDisksRestored;
            total.droppedSends += outcomes.droppedSends;
            total.messages += outcomes.messages;
            total.highestEpoch = Math.max(total.highestEpoch, outcomes.highestEpoch);
            total.claimLatencyMs.addAll(outcomes.claimLatencyMs);
            if (!outcomes.violations.isEmpty() && brokenCount++ < 10) {
                System.out.println(
                        "seed "
                                + (seed + index)
                                + ": "
                                + outcomes.violations.get(0)
                                + (outcomes.violations.size() > 1
                                        ? " and " + (outcomes.violations.size() - 1) + " more"
                                        : ""));
            }
            index++;
        }
        System.out.printf(
                Locale.ROOT,
                "%d schedules, %d broken: tries %d, succeeded %d (%d of them replays), throttled"
                    + " %d, errored %d, other body %d, unanswered %d; runs %d, conflicts %d, epochs"
                    + " up to %d, claim to majority p50 %.1f p99 %.1f ms; old disks put back %d,"
                    + " servers that found one %d, words unsaid %d; second runs where a majority"
                    + " lost its disks %d, runs without a claim %d%n",
                seeds,
                brokenCount,
                total.attempts,
                total.succeeded,
                total.replayed,
                total.throttled,
                total.errored,
                total.fingerprintMismatches,
                total.unanswered,
                total.runs,
                total.conflicts,
                total.highestEpoch,
                total.claimLatencyMs(50),
                total.claimLatencyMs(99),
                total.staleDisksRestored,
                total.staleDisksFound,
                total.droppedSends,
                total.excusedReruns,
                total.runsWithoutClaim);
        return brokenCount == 0 ? 0 : EXIT_FAILED;
    }

    @Command(
            name = "measure",
            mixinStandardHelpOptions = true,
            description =
                    "Cost and speed by size, false verdicts beside heartbeats of all to all; tables"
                            + " and charts in a folder.")
    int measure(
            @Option(names = "--out", required = true) Path out,
            @Option(names = "--sizes", split = ",", defaultValue = "10,30,100,300,1000")
                    List<Integer> sizes,
            @Option(names = "--seeds", defaultValue = "5") int seeds,
            @Option(names = "--minutes", defaultValue = "10") double minutes)
            throws Exception {
        new MembershipMeasurement(out, seeds).write(sizes, minutes * 60, System.err::println);
        return 0;
    }

    @Command(
            name = "versions",
            mixinStandardHelpOptions = true,
            description =
                    "Versions that are brought out, some of them harmful, in fleets with drawn"
                            + " faults; each keyed run is held against what was in force.")
    int versions(
            @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(names = "--seeds", defaultValue = "200") int seeds,
            @Option(
                            names = "--publish",
                            defaultValue = "3",
                            description = "Versions for each schedule.")
                    int publish,
            @Option(names = "--harmful", defaultValue = "0.3", description = "Share of them.")
                    double harmful,
            @Option(names = "--no-faults", description = "The same fleets without any fault.")
                    boolean withoutFaults,
            @Option(
                            names = "--no-leases",
                            description = "Servers heed no lease: stragglers have to be seen.")
                    boolean withoutLeases)
            throws Exception {
        List<Callable<RolloutSimulation.Outcomes>> runs = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            long runSeed = seed + i;
            runs.add(
                    () -> {
                        FleetScenario randomScenario = RandomScenarios.forReplication(runSeed);
                        FleetScenario scenario =
                                withoutFaults
                                        ? new FleetScenario(
                                                randomScenario.name(),
                                                randomScenario.seconds(),
                                                randomScenario.members(),
                                                randomScenario.zones(),
                                                randomScenario.seeds(),
                                                randomScenario.startS(),
                                                randomScenario.probeMs(),
                                                randomScenario.delayMs(),
                                                randomScenario.jitterMs(),
                                                true,
                                                true,
                                                randomScenario.load(),
                                                List.of(),
                                                randomScenario.expect())
                                        : randomScenario;
                        return new RolloutSimulation(scenario, runSeed, !withoutLeases)
                                .run(publish, harmful);
                    });
        }
        RolloutSimulation.Outcomes total = new RolloutSimulation.Outcomes();
        List<Double> settled = new ArrayList<>();
        int brokenCount = 0;
        int unsettledCount = 0;
        int index = 0;
        for (Future<RolloutSimulation.Outcomes> future : submitAll(runs)) {
            RolloutSimulation.Outcomes outcomes = future.get();
            total.publishedVersions += outcomes.publishedVersions;
            total.harmlessVersions += outcomes.harmlessVersions;
            total.stoppedHarmlessVersions += outcomes.stoppedHarmlessVersions;
            total.harmfulVersions += outcomes.harmfulVersions;
            total.stoppedHarmfulVersions += outcomes.stoppedHarmfulVersions;
            total.harmfulVersionsStoppedEarly += outcomes.harmfulVersionsStoppedEarly;
            total.runs += outcomes.runs;
            total.runsWithoutLease += outcomes.runsWithoutLease;
            total.rolloutDurationsS.addAll(outcomes.rolloutDurationsS);
            settled.add(outcomes.settleTimeS);
            if (Double.isInfinite(outcomes.settleTimeS) && unsettledCount++ < 5) {
                System.out.println("seed " + (seed + index) + ": " + outcomes.notes);
            }
            if (!outcomes.violations.isEmpty() && brokenCount++ < 10) {
                System.out.println(
                        "seed "
                                + (seed + index)
                                + ": "
                                + outcomes.violations.get(0)
                                + (outcomes.violations.size() > 1
                                        ? " and " + (outcomes.violations.size() - 1) + " more"
                                        : ""));
            }
            index++;
        }
        settled.sort(null);
        total.rolloutDurationsS.sort(null);
        System.out.printf(
                Locale.ROOT,
                "%d schedules, %d broken, %d unsettled: %d versions, harmless %d of which stopped"
                    + " %d, harmful %d of which stopped %d, %d before all acted on them; keyed runs"
                    + " %d, shut out %d; settled p50 %.1f p99 %.1f s; a rollout p50 %.1f s%n",
                seeds,
                brokenCount,
                unsettledCount,
                total.publishedVersions,
                total.harmlessVersions,
                total.stoppedHarmlessVersions,
                total.harmfulVersions,
                total.stoppedHarmfulVersions,
                total.harmfulVersionsStoppedEarly,
                total.runs,
                total.runsWithoutLease,
                settled.get(seeds / 2),
                settled.get(seeds * 99 / 100),
                total.rolloutDurationsS.isEmpty()
                        ? Double.NaN
                        : total.rolloutDurationsS.get(total.rolloutDurationsS.size() / 2));
        return brokenCount + unsettledCount == 0 ? 0 : EXIT_FAILED;
    }

    @Command(
            name = "copies-sizes",
            mixinStandardHelpOptions = true,
            description =
                    "What copies cost by the size of the fleet, and a third that comes back without"
                            + " its disks; a table and a chart in a folder.")
    int copiesSizes(
            @Option(names = "--out", required = true) Path out,
            @Option(names = "--sizes", split = ",", defaultValue = "10,30,100,300,1000")
                    List<Integer> sizes)
            throws Exception {
        new ReplicationMeasurement(out).write(sizes, System.out::println);
        return 0;
    }

    @Command(
            name = "explore",
            mixinStandardHelpOptions = true,
            description =
                    "Explore all orders of delivery, loss, passing time and crash in a fleet of a"
                            + " few, depth by depth.")
    int explore(
            @Option(names = "--members", defaultValue = "3") int members,
            @Option(names = "--depth", defaultValue = "20") int depth,
            @Option(names = "--crashes", defaultValue = "1") int crashes,
            @Option(
                            names = "--states",
                            defaultValue = "200000",
                            description = "No further depth behind so many states.")
                    long states,
            @Option(
                            names = "--claims",
                            description =
                                    "Claims of one token by two servers at three keepers, over a"
                                            + " change of epoch.")
                    boolean claims,
            @Option(
                            names = "--planted",
                            description = "With a planted fault, which has to be found.")
                    boolean planted)
            throws Exception {
        StateSpaceExplorer.Result result =
                new StateSpaceExplorer(
                                () ->
                                        claims
                                                ? new ClaimStateModel(crashes, planted)
                                                : new MembershipStateModel(
                                                        members, crashes, planted))
                        .explore(depth, states, System.out::println);
        System.out.printf(
                Locale.ROOT,
                "%s, %d crashes: depth %d whole, %d states, %d steps, settles within %d steps%s%n",
                claims ? "claims" : members + " members",
                crashes,
                result.depth(),
                result.states(),
                result.transitions(),
                result.maxRoundsToSettle(),
                result.violation() == null
                        ? "; nothing broken"
                        : "; BROKEN: " + result.violation());
        return result.violation() == null ? 0 : EXIT_FAILED;
    }

    private static <T> List<Future<T>> submitAll(List<Callable<T>> runs)
            throws InterruptedException {
        ExecutorService executor =
                Executors.newFixedThreadPool(
                        Runtime.getRuntime().availableProcessors(),
                        work -> {
                            Thread thread = new Thread(work, "fleet");
                            thread.setDaemon(true);
                            return thread;
                        });
        List<Future<T>> futures = new ArrayList<>();
        for (Callable<T> task : runs) {
            futures.add(executor.submit(task));
        }
        return futures;
    }
}
