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

/** Tables and charts of what a view costs and how fast and how rightly it judges. */
public final class MembershipMeasurement {
    /** Members join within so many seconds, and the cost is counted from some seconds later on. */
    private static final double JOIN_S = 10;

    private static final double CALM_S = 25;
    private static final double COUNT_S = 20;
    private static final int MIDDLE = 24;

    private final Path folder;
    private final int seeds;

    public MembershipMeasurement(Path folder, int seeds) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.seeds = seeds;
    }

    private static FleetScenario script(
            String name, int members, double seconds, List<FleetScenario.Incident> incidents) {
        return new FleetScenario(
                name,
                seconds,
                members,
                3,
                5,
                JOIN_S,
                100,
                0.3,
                0.3,
                false,
                false,
                new FleetScenario.Load(0, 0),
                incidents,
                FleetScenario.Expect.NOTHING);
    }

    private static FleetScenario.Incident incident(
            double at, double span, String what, String who, double strength) {
        return new FleetScenario.Incident(at, span, what, who, "", "", strength);
    }

    public void write(List<Integer> sizes, double seconds, Consumer<String> progress)
            throws IOException {
        sizes(sizes, progress);
        verdicts(seconds, progress);
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

    private void sizes(List<Integer> counts, Consumer<String> progress) throws IOException {
        List<Size> sizes = new ArrayList<>();
        new MembershipSimulation(script("warm", 100, JOIN_S + CALM_S, List.of()), 1, true, COUNT_S)
                .play();
        for (int members : counts) {
            int plays = members >= 300 ? 1 : seeds;
            DescriptiveStatistics known = new DescriptiveStatistics();
            List<FleetOutcome> calm = new ArrayList<>();
            double perKnown = 0;
            int most = 0;
            int heal = 0;
            for (int seed = 1; seed <= plays; seed++) {
                MembershipSimulation world =
                        new MembershipSimulation(
                                script("calm", members, JOIN_S + CALM_S, List.of()),
                                seed,
                                true,
                                COUNT_S);
                calm.add(world.play());
                if (seed == plays) {
                    perKnown = heap(world);
                }
                double at = JOIN_S + CALM_S - 5;
                int victims = 3;
                List<FleetScenario.Incident> kills = new ArrayList<>();
                for (int i = 0; i < victims; i++) {
                    kills.add(incident(at + 6 * i, 0, "kill", "" + (members - i), 1));
                }
                new MembershipSimulation(script("kill", members, at + 30, kills), seed, true, 0)
                        .play()
                        .knownMs
                        .forEach(known::addValue);
                most =
                        Math.max(
                                most,
                                new MembershipSimulation(
                                                script(
                                                        "third",
                                                        members,
                                                        at + 25,
                                                        List.of(incident(at, 0, "kill", "1/3", 1))),
                                                seed,
                                                true,
                                                at)
                                        .play()
                                        .mostPackets);
                heal =
                        Math.max(
                                heal,
                                new MembershipSimulation(
                                                script(
                                                        "heal",
                                                        members,
                                                        at + 40,
                                                        List.of(incident(at, 15, "cut", "z2", 1))),
                                                seed,
                                                true,
                                                at + 15)
                                        .play()
                                        .mostPackets);
            }
            sizes.add(
                    new Size(
                            members,
                            mean(calm, o -> o.packets / o.memberSeconds),
                            mean(calm, o -> o.bytes / o.memberSeconds),
                            mean(calm, o -> o.decisionNanos / 1e3 / o.memberSeconds),
                            known.getPercentile(50),
                            known.getPercentile(99),
                            most,
                            heal,
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

    private static double mean(List<FleetOutcome> all, ToDoubleFunction<FleetOutcome> of) {
        return all.stream().mapToDouble(of).average().orElse(Double.NaN);
    }

    /**
     * Bytes for each member that each server knows: all views of a fleet together, over all that is
     * in them.
     */
    private static double heap(MembershipSimulation world) {
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        long used = runtime.totalMemory() - runtime.freeMemory();
        return (double) used / Math.max(1, world.views());
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

    /** Two dozen members for long under what is no fault of theirs, beside heartbeats. */
    private void verdicts(double seconds, Consumer<String> progress) throws IOException {
        StringBuilder csv =
                new StringBuilder(
                        "what,seconds,seeds,view: false verdicts,view: suspicions,view: packets a"
                            + " member a second,heartbeats: false verdicts,heartbeats: packets a"
                            + " member a second\n");
        double end = JOIN_S + 5 + seconds;
        List<FleetScenario.Incident> pauses = new ArrayList<>();
        SplittableRandom chance = new SplittableRandom(5);
        for (double at = JOIN_S + 5; at < end - 4; at += 0.5 + 2 * chance.nextDouble()) {
            pauses.add(incident(at, 1, "pause", "" + (1 + chance.nextInt(MIDDLE)), 1));
        }
        List<FleetScenario> scripts =
                List.of(
                        script(
                                "a fifth of all packets lost",
                                MIDDLE,
                                end,
                                List.of(incident(JOIN_S + 5, seconds - 1, "loss", "", 0.2))),
                        script(
                                "three in ten lost",
                                MIDDLE,
                                end,
                                List.of(incident(JOIN_S + 5, seconds - 1, "loss", "", 0.3))),
                        script(
                                "cores crowded: 50 ms late on average",
                                MIDDLE,
                                end,
                                List.of(incident(JOIN_S + 5, seconds - 1, "crowd", "all", 50))),
                        script(
                                "cores crowded: 150 ms late on average",
                                MIDDLE,
                                end,
                                List.of(incident(JOIN_S + 5, seconds - 1, "crowd", "all", 150))),
                        script("pauses of a second", MIDDLE, end, clear(pauses)));
        for (FleetScenario script : scripts) {
            List<FleetOutcome> views = new ArrayList<>();
            List<FleetOutcome> beats = new ArrayList<>();
            for (int seed = 1; seed <= seeds; seed++) {
                views.add(new MembershipSimulation(script, seed, true, COUNT_S).play());
                beats.add(new HeartbeatBaseline(script, seed).play());
            }
            csv.append(
                    String.format(
                            Locale.ROOT,
                            "%s,%.0f,%d,%d,%d,%.1f,%d,%.1f%n",
                            script.name(),
                            seconds,
                            seeds,
                            views.stream().mapToInt(o -> o.falseVerdicts).sum(),
                            views.stream().mapToLong(o -> o.suspected).sum(),
                            mean(views, o -> o.packets / o.memberSeconds),
                            beats.stream().mapToInt(o -> o.falseVerdicts).sum(),
                            mean(beats, o -> o.packets / o.memberSeconds)));
            progress.accept(
                    script.name()
                            + ": view "
                            + views.stream().mapToInt(o -> o.falseVerdicts).sum()
                            + " false, heartbeats "
                            + beats.stream().mapToInt(o -> o.falseVerdicts).sum());
        }
        Files.writeString(folder.resolve("fleet-verdicts.csv"), csv.toString());
    }

    /** Without pauses of one member that overlap: it cannot be paused while it is. */
    private static List<FleetScenario.Incident> clear(List<FleetScenario.Incident> pauses) {
        List<FleetScenario.Incident> clear = new ArrayList<>();
        for (FleetScenario.Incident each : pauses) {
            if (clear.stream()
                    .noneMatch(
                            other ->
                                    other.who().equals(each.who())
                                            && each.atS() < other.atS() + other.forS() + 2)) {
                clear.add(each);
            }
        }
        return clear;
    }
}
