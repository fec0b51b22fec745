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

/** Fleets in virtual time. Exit codes as those of {@link SimulateCommand}. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Play faults on a fleet of servers and between them.")
final class FleetSimulateCommand implements Runnable {
    private static final int MISSED = 1;

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
        FleetScenario script = members == null ? read : read.sized(members);
        List<Callable<FleetOutcome>> runs = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            long each = seed + i;
            runs.add(() -> new MembershipSimulation(script, each, true, 0).play());
        }
        int missed = 0;
        int number = 0;
        for (Future<FleetOutcome> each : all(runs)) {
            FleetOutcome outcome = each.get();
            System.out.printf(
                    Locale.ROOT,
                    "seed %d: settled %.1f s, verdicts %d, false %d, changes of one at most %d,"
                        + " known p50 %.0f p99 %.0f ms, packets a member a second %.1f, bytes %.0f,"
                        + " most packets %d, refuted %d of %d suspicions, twins %d%n",
                    seed + number,
                    outcome.settledS,
                    outcome.verdicts,
                    outcome.falseVerdicts,
                    outcome.changesEach,
                    outcome.knownMs(50),
                    outcome.knownMs(99),
                    outcome.packets / outcome.memberSeconds,
                    outcome.bytes / outcome.memberSeconds,
                    outcome.mostPackets,
                    outcome.refuted,
                    outcome.suspected,
                    outcome.twins);
            List<String> wrong = outcome.missed(script.expect());
            for (String line : wrong) {
                System.out.println("  missed: " + line);
            }
            outcome.notes.forEach(line -> System.out.println("  " + line));
            missed += wrong.size();
            number++;
        }
        return missed == 0 ? 0 : MISSED;
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
            long each = seed + i;
            runs.add(
                    () ->
                            new MembershipSimulation(RandomScenarios.script(each, settled), each)
                                    .play());
        }
        List<Double> times = new ArrayList<>();
        int failed = 0;
        int falsely = 0;
        int number = 0;
        for (Future<FleetOutcome> each : all(runs)) {
            FleetOutcome outcome = each.get();
            falsely += outcome.falseVerdicts;
            times.add(outcome.settledS);
            if (outcome.settledS > settled) {
                failed++;
                System.out.printf(
                        Locale.ROOT, "seed %d: settled %.1f s%n", seed + number, outcome.settledS);
                outcome.notes.forEach(line -> System.out.println("  " + line));
            }
            if (seeds == 1) {
                System.out.println(RandomScenarios.script(seed, settled) + "\n" + outcome.notes);
            }
            if (++number % 1000 == 0) {
                System.err.println(number + " of " + seeds);
            }
        }
        times.sort(null);
        System.out.printf(
                Locale.ROOT,
                "%d schedules, %d unsettled; settled p50 %.1f s, p99 %.1f s, most %.1f s; %d false"
                        + " verdicts%n",
                seeds,
                failed,
                times.get(seeds / 2),
                times.get((int) Math.min(seeds - 1L, seeds * 99L / 100)),
                times.get(seeds - 1),
                falsely);
        return failed == 0 ? 0 : MISSED;
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
                    Double switchS,
            @Option(
                            names = "--server-mode",
                            description = "Each server for itself, as without a fleet.")
                    boolean alone)
            throws Exception {
        List<Callable<ReplicationSimulation.Outcomes>> runs = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            long each = seed + i;
            runs.add(
                    () ->
                            new ReplicationSimulation(
                                            RandomScenarios.copies(each),
                                            each,
                                            each % 3 * 0.4,
                                            each / 3 % 2 * oldDisks,
                                            each % 4 == 0,
                                            !alone)
                                    .trace(trace)
                                    .switching(
                                            switchS == null ? Double.NEGATIVE_INFINITY : switchS,
                                            each % 5 * 0.5)
                                    .play(tokens, 25));
        }
        ReplicationSimulation.Outcomes all = new ReplicationSimulation.Outcomes();
        int broken = 0;
        int number = 0;
        for (Future<ReplicationSimulation.Outcomes> each : all(runs)) {
            ReplicationSimulation.Outcomes one = each.get();
            all.tries += one.tries;
            all.succeeded += one.succeeded;
            all.replayed += one.replayed;
            all.throttled += one.throttled;
            all.errored += one.errored;
            all.otherBody += one.otherBody;
            all.unanswered += one.unanswered;
            all.runs += one.runs;
            all.conflicts += one.conflicts;
            all.oldFound += one.oldFound;
            all.unclaimed += one.unclaimed;
            all.excused += one.excused;
            all.oldPutBack += one.oldPutBack;
            all.unsaid += one.unsaid;
            all.messages += one.messages;
            all.epochs = Math.max(all.epochs, one.epochs);
            all.claimMs.addAll(one.claimMs);
            if (!one.broken.isEmpty() && broken++ < 10) {
                System.out.println(
                        "seed "
                                + (seed + number)
                                + ": "
                                + one.broken.get(0)
                                + (one.broken.size() > 1
                                        ? " and " + (one.broken.size() - 1) + " more"
                                        : ""));
            }
            number++;
        }
        System.out.printf(
                Locale.ROOT,
                "%d schedules, %d broken: tries %d, succeeded %d (%d of them replays), throttled"
                    + " %d, errored %d, other body %d, unanswered %d; runs %d, conflicts %d, epochs"
                    + " up to %d, claim to majority p50 %.1f p99 %.1f ms; old disks put back %d,"
                    + " servers that found one %d, words unsaid %d; second runs where a majority"
                    + " lost its disks %d, runs without a claim %d%n",
                seeds,
                broken,
                all.tries,
                all.succeeded,
                all.replayed,
                all.throttled,
                all.errored,
                all.otherBody,
                all.unanswered,
                all.runs,
                all.conflicts,
                all.epochs,
                all.claimMs(50),
                all.claimMs(99),
                all.oldPutBack,
                all.oldFound,
                all.unsaid,
                all.excused,
                all.unclaimed);
        return broken == 0 ? 0 : MISSED;
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
                    boolean calm,
            @Option(
                            names = "--no-leases",
                            description = "Servers heed no lease: stragglers have to be seen.")
                    boolean open)
            throws Exception {
        List<Callable<RolloutSimulation.Outcomes>> runs = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            long each = seed + i;
            runs.add(
                    () -> {
                        FleetScenario drawn = RandomScenarios.copies(each);
                        FleetScenario script =
                                calm
                                        ? new FleetScenario(
                                                drawn.name(),
                                                drawn.seconds(),
                                                drawn.members(),
                                                drawn.zones(),
                                                drawn.seeds(),
                                                drawn.startS(),
                                                drawn.probeMs(),
                                                drawn.delayMs(),
                                                drawn.jitterMs(),
                                                true,
                                                true,
                                                drawn.load(),
                                                List.of(),
                                                drawn.expect())
                                        : drawn;
                        return new RolloutSimulation(script, each, !open).play(publish, harmful);
                    });
        }
        RolloutSimulation.Outcomes all = new RolloutSimulation.Outcomes();
        List<Double> settled = new ArrayList<>();
        int broken = 0;
        int unsettled = 0;
        int number = 0;
        for (Future<RolloutSimulation.Outcomes> each : all(runs)) {
            RolloutSimulation.Outcomes one = each.get();
            all.published += one.published;
            all.harmless += one.harmless;
            all.harmlessStopped += one.harmlessStopped;
            all.harmfulOnes += one.harmfulOnes;
            all.harmfulStopped += one.harmfulStopped;
            all.stoppedEarly += one.stoppedEarly;
            all.runs += one.runs;
            all.refusedRuns += one.refusedRuns;
            all.rolloutS.addAll(one.rolloutS);
            settled.add(one.settledS);
            if (Double.isInfinite(one.settledS) && unsettled++ < 5) {
                System.out.println("seed " + (seed + number) + ": " + one.notes);
            }
            if (!one.broken.isEmpty() && broken++ < 10) {
                System.out.println(
                        "seed "
                                + (seed + number)
                                + ": "
                                + one.broken.get(0)
                                + (one.broken.size() > 1
                                        ? " and " + (one.broken.size() - 1) + " more"
                                        : ""));
            }
            number++;
        }
        settled.sort(null);
        all.rolloutS.sort(null);
        System.out.printf(
                Locale.ROOT,
                "%d schedules, %d broken, %d unsettled: %d versions, harmless %d of which stopped"
                    + " %d, harmful %d of which stopped %d, %d before all acted on them; keyed runs"
                    + " %d, shut out %d; settled p50 %.1f p99 %.1f s; a rollout p50 %.1f s%n",
                seeds,
                broken,
                unsettled,
                all.published,
                all.harmless,
                all.harmlessStopped,
                all.harmfulOnes,
                all.harmfulStopped,
                all.stoppedEarly,
                all.runs,
                all.refusedRuns,
                settled.get(seeds / 2),
                settled.get(seeds * 99 / 100),
                all.rolloutS.isEmpty() ? Double.NaN : all.rolloutS.get(all.rolloutS.size() / 2));
        return broken + unsettled == 0 ? 0 : MISSED;
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
        StateSpaceExplorer.Found found =
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
                found.depth(),
                found.states(),
                found.edges(),
                found.worstSettles(),
                found.broken() == null ? "; nothing broken" : "; BROKEN: " + found.broken());
        return found.broken() == null ? 0 : MISSED;
    }

    private static <T> List<Future<T>> all(List<Callable<T>> runs) throws InterruptedException {
        ExecutorService threads =
                Executors.newFixedThreadPool(
                        Runtime.getRuntime().availableProcessors(),
                        work -> {
                            Thread thread = new Thread(work, "fleet");
                            thread.setDaemon(true);
                            return thread;
                        });
        List<Future<T>> futures = new ArrayList<>();
        for (Callable<T> each : runs) {
            futures.add(threads.submit(each));
        }
        return futures;
    }
}
