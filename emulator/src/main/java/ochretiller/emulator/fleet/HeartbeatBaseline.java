package ochretiller.emulator.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.core.RandomStreams;

/**
 * What is measured beside: each server tells all others that it is there, and whoever was not heard
 * for a fixed time counts as silent. It plays the same plans over the same links; kills, pauses,
 * cuts, losses and crowds are all that it knows.
 */
final class HeartbeatBaseline {
    /** Half a second between two words, and three of them missed. */
    private static final double EVERY_S = 0.5;

    private static final double SILENT_S = 1.5;
    private static final double LOOK_S = 0.1;

    private final FleetScenario script;
    private final FaultSchedule plan;
    private final EventQueue events = new EventQueue();
    private final LinkFaults faults;
    private final FleetOutcome outcome = new FleetOutcome();
    private final Host[] hosts;

    private static final class Host {
        boolean up = true;
        boolean paused;
        double diedS = Double.NaN;
        double resumedS = Double.NEGATIVE_INFINITY;
        final double[] heard;
        final boolean[] silent;

        Host(int members) {
            heard = new double[members];
            silent = new boolean[members];
            Arrays.fill(heard, 0);
        }
    }

    HeartbeatBaseline(FleetScenario script, long seed) {
        this.script = script;
        this.plan = FaultSchedule.of(script);
        RandomStreams seeds = new RandomStreams(seed);
        faults = new LinkFaults(plan, seeds.of("faults"));
        hosts = new Host[script.members()];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new Host(hosts.length);
            int host = i;
            events.after(seeds.of("phase " + i).nextDouble() * EVERY_S, () -> say(host));
            events.after(seeds.of("look " + i).nextDouble() * LOOK_S, () -> look(host));
        }
        for (FaultSchedule.Action action : plan.actions()) {
            if (action.act() != FaultSchedule.Act.START) {
                events.after(action.atS(), () -> act(action));
            }
        }
    }

    FleetOutcome play() {
        events.run(script.seconds());
        outcome.memberSeconds = script.seconds() * script.members();
        return outcome;
    }

    private void act(FaultSchedule.Action action) {
        Host host = hosts[action.slot() - 1];
        switch (action.act()) {
            case KILL -> {
                host.up = false;
                host.diedS = events.seconds();
            }
            case PAUSE -> host.paused = true;
            case RESUME -> {
                host.paused = false;
                host.resumedS = events.seconds();
            }
            default -> throw new IllegalArgumentException("heartbeats do not play " + action.act());
        }
    }

    private double late(int host) {
        return faults.lateMs(host + 1, events.seconds()) / 1e3;
    }

    private void say(int from) {
        if (!hosts[from].up) {
            return;
        }
        if (!hosts[from].paused) {
            for (int to = 0; to < hosts.length; to++) {
                if (to == from) {
                    continue;
                }
                outcome.packets++;
                int receiver = to;
                for (LinkFaults.Copy copy : faults.fate(from + 1, to + 1, events.seconds())) {
                    events.after(
                            (script.delayMs() + copy.delayMs()) / 1e3 + late(to),
                            () -> hear(receiver, from));
                }
            }
        }
        events.after(EVERY_S + late(from), () -> say(from));
    }

    private void hear(int to, int from) {
        if (!hosts[to].up || hosts[to].paused) {
            return;
        }
        hosts[to].heard[from] = events.seconds();
        hosts[to].silent[from] = false;
    }

    private void look(int who) {
        Host host = hosts[who];
        if (!host.up) {
            return;
        }
        double now = events.seconds();
        for (int of = 0; of < hosts.length && !host.paused; of++) {
            if (of == who || host.silent[of] || now - host.heard[of] < SILENT_S) {
                continue;
            }
            host.silent[of] = true;
            outcome.verdicts++;
            if (!hosts[of].up) {
                outcome.knownMs.add((now - hosts[of].diedS) * 1e3);
                continue;
            }
            Set<Integer> unheard = plan.unheard(now);
            unheard.addAll(plan.unheard(Math.max(0, now - 1)));
            List<Integer> both = List.of(who + 1, of + 1);
            boolean excused =
                    hosts[of].paused
                            || now - hosts[of].resumedS < 1
                            || both.stream().anyMatch(unheard::contains);
            if (!excused) {
                outcome.falseVerdicts++;
            }
        }
        events.after(LOOK_S + late(who), () -> look(who));
    }
}
