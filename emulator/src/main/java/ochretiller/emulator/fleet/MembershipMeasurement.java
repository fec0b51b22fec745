package ochretiller.emulator.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;

/** Writes tables and charts of the membership view's cost, detection time and false verdicts. */
public final class MembershipMeasurement {
    /** Seconds in which the members join; cost is counted from {@code COUNTING_START_S} on. */
    private static final double JOIN_DURATION_S = 10;

    private static final double IDLE_DURATION_S = 25;
    private static final double COUNTING_START_S = 20;
    private static final int VERDICT_MEMBERS = 24;

    private final Path folder;
    private final int seeds;

    public MembershipMeasurement(Path folder, int seeds) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.seeds = seeds;
    }

    private static FleetScenario scenario(
            String name, int members, double seconds, List<FleetScenario.Incident> incidents) {
        return new FleetScenario(
                name,
                seconds,
                members,
                3,
                5,
                JOIN_DURATION_S,
                100,
                0.3,
                0.3,
                false,
                false,
                new FleetScenario.Load(0, 0),
                incidents,
                FleetScenario.Expect.UNBOUNDED);
    }

    private static FleetScenario.Incident incident(
            double atS, double durationS, String what, String who, double strength) {
        return new FleetScenario.Incident(atS, durationS, what, who, "", "", strength);
    }

    public void write(List<Integer> sizes, double seconds, Consumer<String> progress)
            throws IOException {
        measureSizes(sizes, progress);
        measureVerdicts(seconds, progress);
    }

    private record Size(
            int members,
            double packets,
            double bytes,
            double micros,
            double known50,
            double known99,
            double mass,
            double heal,
            double perKnown) {}

    private void measureSizes(List<Integer> memberCounts, Consumer<String> progress)
            throws IOException {
        List<Size> sizes = new ArrayList<>();
        new MembershipSimulation(
                        scenario("warm", 100, JOIN_DURATION_S + IDLE_DURATION_S, List.of()),
                        1,
                        true,
                        COUNTING_START_S)
                .run();
        for (int members : memberCounts) {
            int runs = members >= 300 ? 1 : seeds;
            DescriptiveStatistics known = new DescriptiveStatistics();
            List<FleetOutcome> idleOutcomes = new ArrayList<>();
            double perKnown = 0;
            int maxPacketsAfterMassKill = 0;
            int maxPacketsAfterHeal = 0;
            for (int seed = 1; seed <= runs; seed++) {
                MembershipSimulation simulation =
                        new MembershipSimulation(
                                scenario(
                                        "calm",
                                        members,
                                        JOIN_DURATION_S + IDLE_DURATION_S,
                                        List.of()),
                                seed,
                                true,
                                COUNTING_START_S);
                idleOutcomes.add(simulation.run());
                if (seed == runs) {
                    perKnown = heapBytesPerMember(simulation);
                }
                double faultStartS = JOIN_DURATION_S + IDLE_DURATION_S - 5;
                int killCount = 3;
                List<FleetScenario.Incident> kills = new ArrayList<>();
                for (int i = 0; i < killCount; i++) {
                    kills.add(incident(faultStartS + 6 * i, 0, "kill", "" + (members - i), 1));
                }
                new MembershipSimulation(
                                scenario("kill", members, faultStartS + 30, kills), seed, true, 0)
                        .run()
                        .detectionMs
                        .forEach(known::addValue);
                maxPacketsAfterMassKill =
                        Math.max(
                                maxPacketsAfterMassKill,
                                new MembershipSimulation(
                                                scenario(
                                                        "third",
                                                        members,
                                                        faultStartS + 25,
                                                        List.of(
                                                                incident(
                                                                        faultStartS,
                                                                        0,
                                                                        "kill",
                                                                        "1/3",
                                                                        1))),
                                                seed,
                                                true,
                                                faultStartS)
                                        .run()
                                        .maxPacketsPerSecond);
                maxPacketsAfterHeal =
                        Math.max(
                                maxPacketsAfterHeal,
                                new MembershipSimulation(
                                                scenario(
                                                        "heal",
                                                        members,
                                                        faultStartS + 40,
                                                        List.of(
                                                                incident(
                                                                        faultStartS,
                                                                        15,
                                                                        "cut",
                                                                        "z2",
                                                                        1))),
                                                seed,
                                                true,
                                                faultStartS + 15)
                                        .run()
                                        .maxPacketsPerSecond);
            }
            sizes.add(
                    new Size(
                            members,
                            mean(idleOutcomes, o -> o.packets / o.memberSeconds),
                            mean(idleOutcomes, o -> o.bytes / o.memberSeconds),
                            mean(idleOutcomes, o -> o.protocolNanos / 1e3 / o.memberSeconds),
                            known.getPercentile(50),
                            known.getPercentile(99),
                            maxPacketsAfterMassKill,
                            maxPacketsAfterHeal,
                            perKnown));
            progress.accept(members + " members: " + sizes.get(sizes.size() - 1));
        }
        StringBuilder csv =
                new StringBuilder(
                        "members,packets a member a second,bytes a member a second,microseconds of"
                            + " decisions a member a second,known p50 ms,known p99 ms,most packets"
                            + " of one in a second as a third dies,most packets of one in a second"
                            + " at a heal,bytes of memory for each known\n");
        for (Size each : sizes) {
            csv.append(
                    String.format(
                            Locale.ROOT,
                            "%d,%.2f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f%n",
                            each.members,
                            each.packets,
                            each.bytes,
                            each.micros,
                            each.known50,
                            each.known99,
                            each.mass,
                            each.heal,
                            each.perKnown));
        }
        Files.writeString(folder.resolve("fleet-sizes.csv"), csv.toString());
        double[] x = sizes.stream().mapToDouble(Size::members).toArray();
        XYChart cost = chart("What a view costs, by size of the fleet", "bytes a member a second");
        cost.addSeries("bytes a second", x, sizes.stream().mapToDouble(Size::bytes).toArray());
        cost.addSeries(
                "decisions, microseconds a second",
                x,
                sizes.stream().mapToDouble(Size::micros).toArray());
        cost.getStyler().setYAxisMin(0.0);
        save(cost, "fleet-cost");
        XYChart known = chart("Time until a kill is known, by size of the fleet", "ms");
        known.addSeries(
                "half of the survivors", x, sizes.stream().mapToDouble(Size::known50).toArray());
        known.addSeries("99 of 100", x, sizes.stream().mapToDouble(Size::known99).toArray());
        known.getStyler().setYAxisMin(0.0);
        save(known, "fleet-known");
    }

    private static double mean(List<FleetOutcome> outcomes, ToDoubleFunction<FleetOutcome> value) {
        return outcomes.stream().mapToDouble(value).average().orElse(Double.NaN);
    }

    /** Heap use, in bytes, divided by the number of members in the views of all servers. */
    private static double heapBytesPerMember(MembershipSimulation simulation) {
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        long usedBytes = runtime.totalMemory() - runtime.freeMemory();
        return (double) usedBytes / Math.max(1, simulation.knownMemberCount());
    }

    private static XYChart chart(String title, String y) {
        XYChart chart =
                new XYChartBuilder()
                        .width(820)
                        .height(380)
                        .title(title)
                        .xAxisTitle("members")
                        .yAxisTitle(y)
                        .build();
        chart.getStyler()
                .setXAxisLogarithmic(true)
                .setLegendPosition(Styler.LegendPosition.OutsideS)
                .setLegendLayout(Styler.LegendLayout.Horizontal);
        return chart;
    }

    private void save(XYChart chart, String name) throws IOException {
        VectorGraphicsEncoder.saveVectorGraphic(
                chart,
                folder.resolve(name).toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }

    /**
     * Counts false verdicts under packet loss, crowded cores and pauses, compared with heartbeats.
     *
     * @param seconds duration of the faults
     */
    private void measureVerdicts(double seconds, Consumer<String> progress) throws IOException {
        StringBuilder csv =
                new StringBuilder(
                        "what,seconds,seeds,view: false verdicts,view: suspicions,view: packets a"
                            + " member a second,heartbeats: false verdicts,heartbeats: packets a"
                            + " member a second\n");
        double endS = JOIN_DURATION_S + 5 + seconds;
        List<FleetScenario.Incident> pauses = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(5);
        for (double atS = JOIN_DURATION_S + 5;
                atS < endS - 4;
                atS += 0.5 + 2 * random.nextDouble()) {
            pauses.add(incident(atS, 1, "pause", "" + (1 + random.nextInt(VERDICT_MEMBERS)), 1));
        }
        List<FleetScenario> scenarios =
                List.of(
                        scenario(
                                "a fifth of all packets lost",
                                VERDICT_MEMBERS,
                                endS,
                                List.of(
                                        incident(
                                                JOIN_DURATION_S + 5,
                                                seconds - 1,
                                                "loss",
                                                "",
                                                0.2))),
                        scenario(
                                "three in ten lost",
                                VERDICT_MEMBERS,
                                endS,
                                List.of(
                                        incident(
                                                JOIN_DURATION_S + 5,
                                                seconds - 1,
                                                "loss",
                                                "",
                                                0.3))),
                        scenario(
                                "cores crowded: 50 ms late on average",
                                VERDICT_MEMBERS,
                                endS,
                                List.of(
                                        incident(
                                                JOIN_DURATION_S + 5,
                                                seconds - 1,
                                                "crowd",
                                                "all",
                                                50))),
                        scenario(
                                "cores crowded: 150 ms late on average",
                                VERDICT_MEMBERS,
                                endS,
                                List.of(
                                        incident(
                                                JOIN_DURATION_S + 5,
                                                seconds - 1,
                                                "crowd",
                                                "all",
                                                150))),
                        scenario(
                                "pauses of a second",
                                VERDICT_MEMBERS,
                                endS,
                                withoutOverlaps(pauses)));
        for (FleetScenario scenario : scenarios) {
            List<FleetOutcome> membershipOutcomes = new ArrayList<>();
            List<FleetOutcome> heartbeatOutcomes = new ArrayList<>();
            for (int seed = 1; seed <= seeds; seed++) {
                membershipOutcomes.add(
                        new MembershipSimulation(scenario, seed, true, COUNTING_START_S).run());
                heartbeatOutcomes.add(new HeartbeatBaseline(scenario, seed).run());
            }
            csv.append(
                    String.format(
                            Locale.ROOT,
                            "%s,%.0f,%d,%d,%d,%.1f,%d,%.1f%n",
                            scenario.name(),
                            seconds,
                            seeds,
                            membershipOutcomes.stream().mapToInt(o -> o.falseVerdicts).sum(),
                            membershipOutcomes.stream().mapToLong(o -> o.suspicions).sum(),
                            mean(membershipOutcomes, o -> o.packets / o.memberSeconds),
                            heartbeatOutcomes.stream().mapToInt(o -> o.falseVerdicts).sum(),
                            mean(heartbeatOutcomes, o -> o.packets / o.memberSeconds)));
            progress.accept(
                    scenario.name()
                            + ": view "
                            + membershipOutcomes.stream().mapToInt(o -> o.falseVerdicts).sum()
                            + " false, heartbeats "
                            + heartbeatOutcomes.stream().mapToInt(o -> o.falseVerdicts).sum());
        }
        Files.writeString(folder.resolve("fleet-verdicts.csv"), csv.toString());
    }

    /** Drops pauses that overlap another one of the same member, which is already paused then. */
    private static List<FleetScenario.Incident> withoutOverlaps(
            List<FleetScenario.Incident> pauses) {
        List<FleetScenario.Incident> separate = new ArrayList<>();
        for (FleetScenario.Incident each : pauses) {
            if (separate.stream()
                    .noneMatch(
                            other ->
                                    other.who().equals(each.who())
                                            && each.atS() < other.atS() + other.forS() + 2)) {
                separate.add(each);
            }
        }
        return separate;
    }
}
