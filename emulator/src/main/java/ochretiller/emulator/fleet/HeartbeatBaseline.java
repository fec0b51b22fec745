package ochretiller.emulator.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import ochretiller.emulator.core.EventQueue;
import ochretiller.emulator.core.RandomStreams;

/**
 * A baseline for comparison: each server sends heartbeats to all others and considers a server
 * silent if no heartbeat arrives for a fixed time. It uses the same schedules and link faults as
 * the membership simulation, but the only actions it supports are kill, pause and resume.
 */
final class HeartbeatBaseline {
    /** A server counts as silent after three missed heartbeats. */
    private static final double HEARTBEAT_INTERVAL_S = 0.5;

    private static final double SILENCE_TIMEOUT_S = 1.5;
    private static final double CHECK_INTERVAL_S = 0.1;

    private final FleetScenario scenario;
    private final FaultSchedule schedule;
    private final EventQueue events = new EventQueue();
    private final LinkFaults faults;
    private final FleetOutcome outcome = new FleetOutcome();
    private final Host[] hosts;

    private static final class Host {
        boolean isUp = true;
        boolean isPaused;
        double stoppedS = Double.NaN;
        double resumedS = Double.NEGATIVE_INFINITY;
        final double[] lastHeartbeatS;
        final boolean[] isSilent;

        Host(int members) {
            lastHeartbeatS = new double[members];
            isSilent = new boolean[members];
            Arrays.fill(lastHeartbeatS, 0);
        }
    }

    HeartbeatBaseline(FleetScenario scenario, long seed) {
        this.scenario = scenario;
        this.schedule = FaultSchedule.of(scenario);
        RandomStreams streams = new RandomStreams(seed);
        faults = new LinkFaults(schedule, streams.stream("faults"));
        hosts = new Host[scenario.members()];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new Host(hosts.length);
            int host = i;
            events.schedule(
                    streams.stream("phase " + i).nextDouble() * HEARTBEAT_INTERVAL_S,
                    () -> sendHeartbeats(host));
            events.schedule(
                    streams.stream("look " + i).nextDouble() * CHECK_INTERVAL_S,
                    () -> checkSilence(host));
        }
        for (FaultSchedule.Action action : schedule.actions()) {
            if (action.kind() != FaultSchedule.ActionKind.START) {
                events.schedule(action.atS(), () -> perform(action));
            }
        }
    }

    FleetOutcome run() {
        events.runUntil(scenario.seconds());
        outcome.memberSeconds = scenario.seconds() * scenario.members();
        return outcome;
    }

    private void perform(FaultSchedule.Action action) {
        Host host = hosts[action.slot() - 1];
        switch (action.kind()) {
            case KILL -> {
                host.isUp = false;
                host.stoppedS = events.nowSeconds();
            }
            case PAUSE -> host.isPaused = true;
            case RESUME -> {
                host.isPaused = false;
                host.resumedS = events.nowSeconds();
            }
            default ->
                    throw new IllegalArgumentException(
                            "unsupported action in heartbeat baseline: " + action.kind());
        }
    }

    private double delayS(int host) {
        return faults.processingDelayMs(host + 1, events.nowSeconds()) / 1e3;
    }

    private void sendHeartbeats(int sender) {
        if (!hosts[sender].isUp) {
            return;
        }
        if (!hosts[sender].isPaused) {
            for (int recipient = 0; recipient < hosts.length; recipient++) {
                if (recipient == sender) {
                    continue;
                }
                outcome.packets++;
                int receiver = recipient;
                for (LinkFaults.Copy copy :
                        faults.deliveredCopies(sender + 1, recipient + 1, events.nowSeconds())) {
                    events.schedule(
                            (scenario.delayMs() + copy.delayMs()) / 1e3 + delayS(recipient),
                            () -> receiveHeartbeat(receiver, sender));
                }
            }
        }
        events.schedule(HEARTBEAT_INTERVAL_S + delayS(sender), () -> sendHeartbeats(sender));
    }

    private void receiveHeartbeat(int recipient, int sender) {
        if (!hosts[recipient].isUp || hosts[recipient].isPaused) {
            return;
        }
        hosts[recipient].lastHeartbeatS[sender] = events.nowSeconds();
        hosts[recipient].isSilent[sender] = false;
    }

    private void checkSilence(int observer) {
        Host host = hosts[observer];
        if (!host.isUp) {
            return;
        }
        double now = events.nowSeconds();
        for (int subject = 0; subject < hosts.length && !host.isPaused; subject++) {
            if (subject == observer
                    || host.isSilent[subject]
                    || now - host.lastHeartbeatS[subject] < SILENCE_TIMEOUT_S) {
                continue;
            }
            host.isSilent[subject] = true;
            outcome.verdicts++;
            if (!hosts[subject].isUp) {
                outcome.detectionMs.add((now - hosts[subject].stoppedS) * 1e3);
                continue;
            }
            Set<Integer> unreachable = schedule.unreachableSlots(now);
            unreachable.addAll(schedule.unreachableSlots(Math.max(0, now - 1)));
            List<Integer> observerAndSubject = List.of(observer + 1, subject + 1);
            boolean isExcused =
                    hosts[subject].isPaused
                            || now - hosts[subject].resumedS < 1
                            || observerAndSubject.stream().anyMatch(unreachable::contains);
            if (!isExcused) {
                outcome.falseVerdicts++;
            }
        }
        events.schedule(CHECK_INTERVAL_S + delayS(observer), () -> checkSilence(observer));
    }
}
