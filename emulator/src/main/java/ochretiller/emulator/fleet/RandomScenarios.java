package ochretiller.emulator.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.emulator.core.RandomStreams;

/** Creates random scenarios, reproducibly from a seed, with up to six faults that may overlap. */
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

    /** Latest start of a fault, in seconds after the first second. */
    private static final double MAX_START_OFFSET_S = 12;

    private static final double MAX_DURATION_S = 10;
    private static final int SEED_COUNT = 3;

    private RandomScenarios() {}

    /**
     * Returns a scenario for a membership simulation: 5 to 50 members and one to six faults.
     *
     * @param settledS bound on the settling time, in seconds
     */
    public static FleetScenario forMembership(long seed, double settledS) {
        SplittableRandom random = new RandomStreams(seed).stream("schedule");
        int members = 5 + random.nextInt(46);
        int zones = 1 + random.nextInt(4);
        List<FleetScenario.Incident> incidents = new ArrayList<>();
        int count = 1 + random.nextInt(6);
        for (int i = 0; i < count; i++) {
            incidents.add(randomIncident(random, members));
        }
        FleetScenario unbounded =
                new FleetScenario(
                        "drawn-" + seed,
                        1,
                        members,
                        zones,
                        SEED_COUNT,
                        3 * random.nextDouble(),
                        100,
                        0.3,
                        0.3,
                        false,
                        false,
                        new FleetScenario.Load(0, 0),
                        incidents,
                        FleetScenario.Expect.UNBOUNDED);
        double lastEndS = FaultSchedule.of(unbounded).lastFaultEndS();
        return new FleetScenario(
                unbounded.name(),
                lastEndS + settledS + 15,
                members,
                zones,
                SEED_COUNT,
                unbounded.startS(),
                100,
                0.3,
                0.3,
                false,
                false,
                unbounded.load(),
                incidents,
                new FleetScenario.Expect(settledS, -1, -1, 0));
    }

    /**
     * Returns a scenario for a fleet that replicates claims: 3 to 9 members and up to six faults,
     * of the kinds that change neither names nor addresses; a member that leaves is restarted.
     */
    public static FleetScenario forReplication(long seed) {
        SplittableRandom random = new RandomStreams(seed).stream("copies");
        int members = 3 + random.nextInt(7);
        int zones = 1 + random.nextInt(3);
        List<FleetScenario.Incident> incidents = new ArrayList<>();
        int count = random.nextInt(7);
        while (incidents.size() < count) {
            FleetScenario.Incident candidate = randomIncident(random, members);
            boolean isSupported =
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
                            .contains(candidate.what());
            if (isSupported && (candidate.forS() > 0 || !candidate.what().equals("leave"))) {
                incidents.add(candidate);
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
                FleetScenario.Expect.UNBOUNDED);
    }

    private static FleetScenario.Incident randomIncident(SplittableRandom random, int members) {
        String what = KINDS.get(random.nextInt(KINDS.size()));
        double startS = 1 + random.nextDouble() * MAX_START_OFFSET_S;
        double durationS = 0.2 + random.nextDouble() * MAX_DURATION_S;
        double strength = 1;
        String who = randomMembers(random, members);
        switch (what) {
            case "kill" -> {
                // Seeds are always restarted: without any seed no server can join the fleet.
                if (random.nextInt(3) == 0) {
                    durationS = 0;
                    int first = Math.min(members, SEED_COUNT + 1);
                    who = first + "-" + (first + random.nextInt(Math.max(1, members - SEED_COUNT)));
                }
            }
            case "move", "take", "twin", "leave" -> {
                who =
                        ""
                                + (Math.min(members, SEED_COUNT + 1)
                                        + random.nextInt(Math.max(1, members - SEED_COUNT)));
                if (what.equals("leave") && random.nextBoolean()) {
                    durationS = 0;
                }
            }
            case "join" -> strength = 1 + random.nextInt(20);
            case "loss" -> strength = 0.05 + 0.35 * random.nextDouble();
            case "delay" -> strength = 5 + 60 * random.nextDouble();
            case "duplicate", "reorder" -> strength = 0.5 * random.nextDouble();
            case "crowd" -> strength = 10 + 150 * random.nextDouble();
            default -> {}
        }
        return new FleetScenario.Incident(
                startS,
                durationS,
                what,
                who,
                randomMembers(random, members),
                randomMembers(random, members),
                strength);
    }

    private static String randomMembers(SplittableRandom random, int members) {
        int first = 1 + random.nextInt(members);
        return switch (random.nextInt(4)) {
            case 0 -> "" + first;
            case 1 -> first + "-" + (first + random.nextInt(members - first + 1));
            case 2 -> "1/" + (2 + random.nextInt(3));
            default -> "z1";
        };
    }
}
