package ochretiller.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.emulator.core.RandomStreams;

/** Scripts drawn by chance: 5 to 50 members, up to six faults that overlap as they like. */
public final class RandomScenarios {
    private static final List<String> KINDS =
            List.of(
                    "kill",
                    "kill",
                    "move",
                    "take",
                    "pause",
                    "pause",
                    "leave",
                    "release",
                    "join",
                    "cut",
                    "cut",
                    "deaf",
                    "mute",
                    "one-way",
                    "one-way",
                    "loss",
                    "loss",
                    "delay",
                    "duplicate",
                    "reorder",
                    "crowd",
                    "twin");

    /** Faults begin within so many seconds, and last no longer. */
    private static final double BEGIN_S = 12;

    private static final double LONGEST_S = 10;
    private static final int SEEDS = 3;

    private RandomScenarios() {}

    /** The script of this number. */
    public static FleetScenario script(long seed, double settledS) {
        SplittableRandom chance = new RandomStreams(seed).of("schedule");
        int members = 5 + chance.nextInt(46);
        int zones = 1 + chance.nextInt(4);
        List<FleetScenario.Incident> incidents = new ArrayList<>();
        int count = 1 + chance.nextInt(6);
        for (int i = 0; i < count; i++) {
            incidents.add(incident(chance, members));
        }
        FleetScenario free =
                new FleetScenario(
                        "drawn-" + seed,
                        1,
                        members,
                        zones,
                        SEEDS,
                        3 * chance.nextDouble(),
                        100,
                        0.3,
                        0.3,
                        false,
                        false,
                        new FleetScenario.Load(0, 0),
                        incidents,
                        FleetScenario.Expect.NOTHING);
        double last = FaultSchedule.of(free).lastS();
        return new FleetScenario(
                free.name(),
                last + settledS + 15,
                members,
                zones,
                SEEDS,
                free.startS(),
                100,
                0.3,
                0.3,
                false,
                false,
                free.load(),
                incidents,
                new FleetScenario.Expect(settledS, -1, -1, 0));
    }

    /**
     * A script for a fleet that keeps copies: 3 to 9 members, faults of what lasts and comes back.
     */
    public static FleetScenario copies(long seed) {
        SplittableRandom chance = new RandomStreams(seed).of("copies");
        int members = 3 + chance.nextInt(7);
        int zones = 1 + chance.nextInt(3);
        List<FleetScenario.Incident> incidents = new ArrayList<>();
        int count = chance.nextInt(7);
        while (incidents.size() < count) {
            FleetScenario.Incident each = incident(chance, members);
            boolean plays =
                    List.of(
                                    "kill",
                                    "pause",
                                    "leave",
                                    "release",
                                    "cut",
                                    "deaf",
                                    "mute",
                                    "one-way",
                                    "loss",
                                    "delay",
                                    "duplicate",
                                    "reorder",
                                    "crowd")
                            .contains(each.what());
            if (plays && (each.forS() > 0 || !each.what().equals("leave"))) {
                incidents.add(each);
            }
        }
        return new FleetScenario(
                "copies-" + seed,
                100,
                members,
                zones,
                2,
                1,
                100,
                0.3,
                0.3,
                true,
                true,
                new FleetScenario.Load(0, 0),
                incidents,
                FleetScenario.Expect.NOTHING);
    }

    private static FleetScenario.Incident incident(SplittableRandom chance, int members) {
        String what = KINDS.get(chance.nextInt(KINDS.size()));
        double at = 1 + chance.nextDouble() * BEGIN_S;
        double span = 0.2 + chance.nextDouble() * LONGEST_S;
        double strength = 1;
        String who = who(chance, members);
        switch (what) {
            case "kill" -> {
                // Who stays dead is no seed: a fleet whose seeds are all gone for good takes nobody
                // in.
                if (chance.nextInt(3) == 0) {
                    span = 0;
                    int first = Math.min(members, SEEDS + 1);
                    who = first + "-" + (first + chance.nextInt(Math.max(1, members - SEEDS)));
                }
            }
            case "move", "take", "twin", "leave" -> {
                who =
                        ""
                                + (Math.min(members, SEEDS + 1)
                                        + chance.nextInt(Math.max(1, members - SEEDS)));
                if (what.equals("leave") && chance.nextBoolean()) {
                    span = 0;
                }
            }
            case "join" -> strength = 1 + chance.nextInt(20);
            case "loss" -> strength = 0.05 + 0.35 * chance.nextDouble();
            case "delay" -> strength = 5 + 60 * chance.nextDouble();
            case "duplicate", "reorder" -> strength = 0.5 * chance.nextDouble();
            case "crowd" -> strength = 10 + 150 * chance.nextDouble();
            default -> {}
        }
        return new FleetScenario.Incident(
                at, span, what, who, who(chance, members), who(chance, members), strength);
    }

    private static String who(SplittableRandom chance, int members) {
        int first = 1 + chance.nextInt(members);
        return switch (chance.nextInt(4)) {
            case 0 -> "" + first;
            case 1 -> first + "-" + (first + chance.nextInt(members - first + 1));
            case 2 -> "1/" + (2 + chance.nextInt(3));
            default -> "z1";
        };
    }
}
