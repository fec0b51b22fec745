package ochretiller.emulator.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ochretiller.settings.MalformedException;

/**
 * The actions on processes and the faults of links that a scenario consists of, with their times in
 * seconds. The emulator applies them to simulated servers, the drill to real processes.
 *
 * @param slots all servers that are started at any time, including those that join later
 * @param actions sorted by time
 * @param lastFaultEndS end of the last fault, in seconds
 */
public record FaultSchedule(
        List<Slot> slots, List<Action> actions, List<Fault> faults, double lastFaultEndS) {
    /** An action on a process. */
    public enum ActionKind {
        START,
        KILL,
        PAUSE,
        RESUME,
        LEAVE,
        IMAGE
    }

    /** A kind of fault of links, or of a server's clock, disk, CPU or inbound traffic. */
    public enum FaultKind {
        CUT,
        LOSS,
        DELAY,
        DUPLICATE,
        REORDER,
        CORRUPT,
        CROWD,
        FLOOD,
        CLOCK,
        FULL,
        STALL
    }

    /**
     * A server that is started at some time.
     *
     * @param number from 1; the scenario's initial members come first
     * @param address index of its address, which several servers may use one after the other
     */
    public record Slot(int number, String name, int zone, int address) {}

    /**
     * An action on a process at a time.
     *
     * @param slot number of the slot
     * @param address index of the address on which the process listens after {@link
     *     ActionKind#START}
     * @param disk disk contents at {@link ActionKind#START}; {@link FleetScenario.Disk#OLD}
     *     restores the image that an earlier {@link ActionKind#IMAGE} took
     */
    public record Action(
            double atS, ActionKind kind, int slot, int address, FleetScenario.Disk disk) {}

    /**
     * A fault of the links from some slots to others; a fault of servers affects those in {@code
     * to} and has an empty {@code from}.
     */
    public record Fault(
            double atS,
            double untilS,
            FaultKind kind,
            Set<Integer> from,
            Set<Integer> to,
            double strength) {
        boolean isActiveAt(double seconds) {
            return seconds >= atS && seconds < untilS;
        }
    }

    /** Seconds within which a server that was asked to leave terminates. */
    public static final double LEAVE_DURATION_S = 1.2;

    public static FaultSchedule of(FleetScenario scenario) {
        return new Builder(scenario).build();
    }

    private static final class Builder {
        private final FleetScenario scenario;
        private final List<Slot> slots = new ArrayList<>();
        private final List<Action> actions = new ArrayList<>();
        private final List<Fault> faults = new ArrayList<>();
        private int lastAddress;
        private double lastEndS;

        Builder(FleetScenario scenario) {
            this.scenario = scenario;
        }

        private Slot addSlot(String name, int zone, int address) {
            Slot slot = new Slot(slots.size() + 1, name, zone, address);
            slots.add(slot);
            return slot;
        }

        private void addAction(double atS, ActionKind kind, int slot, int address) {
            addAction(atS, kind, slot, address, FleetScenario.Disk.KEPT);
        }

        private void addAction(
                double atS, ActionKind kind, int slot, int address, FleetScenario.Disk disk) {
            actions.add(new Action(atS, kind, slot, address, disk));
            lastEndS = Math.max(lastEndS, atS);
        }

        private void addFault(
                FleetScenario.Incident incident,
                FaultKind kind,
                Set<Integer> from,
                Set<Integer> to) {
            faults.add(
                    new Fault(
                            incident.atS(),
                            incident.atS() + incident.forS(),
                            kind,
                            from,
                            to,
                            incident.strength()));
            lastEndS = Math.max(lastEndS, incident.atS() + incident.forS());
        }

        private Set<Integer> others(Set<Integer> excluded) {
            Set<Integer> others = new TreeSet<>(scenario.members(""));
            others.removeAll(excluded);
            return others;
        }

        FaultSchedule build() {
            for (int i = 1; i <= scenario.members(); i++) {
                addSlot("m" + i, scenario.zoneOf(i), ++lastAddress);
                actions.add(
                        new Action(
                                scenario.members() == 1
                                        ? 0
                                        : scenario.startS() * (i - 1) / (scenario.members() - 1),
                                ActionKind.START,
                                i,
                                i,
                                FleetScenario.Disk.KEPT));
                lastEndS = scenario.startS();
            }
            for (FleetScenario.Incident incident : scenario.incidents()) {
                expand(incident);
            }
            actions.sort(Comparator.comparingDouble(Action::atS));
            return new FaultSchedule(
                    List.copyOf(slots), List.copyOf(actions), List.copyOf(faults), lastEndS);
        }

        private void expand(FleetScenario.Incident incident) {
            double at = incident.atS();
            double end = at + incident.forS();
            Set<Integer> who = scenario.members(incident.who());
            Set<Integer> from = scenario.members(incident.from());
            Set<Integer> to = scenario.members(incident.to());
            switch (incident.what()) {
                case "kill" ->
                        who.forEach(
                                i -> {
                                    if (incident.disk() == FleetScenario.Disk.OLD) {
                                        addAction(
                                                Math.max(0, at - incident.strength()),
                                                ActionKind.IMAGE,
                                                i,
                                                i);
                                    }
                                    addAction(at, ActionKind.KILL, i, i);
                                    if (incident.forS() > 0) {
                                        addAction(end, ActionKind.START, i, i, incident.disk());
                                    }
                                });
                case "move" ->
                        who.forEach(
                                i -> {
                                    addAction(at, ActionKind.KILL, i, i);
                                    addAction(end, ActionKind.START, i, ++lastAddress);
                                });
                case "take" ->
                        who.forEach(
                                i -> {
                                    addAction(at, ActionKind.KILL, i, i);
                                    addAction(
                                            end,
                                            ActionKind.START,
                                            addSlot("x" + i, scenario.zoneOf(i), i).number(),
                                            i);
                                });
                case "pause" ->
                        who.forEach(
                                i -> {
                                    addAction(at, ActionKind.PAUSE, i, i);
                                    addAction(end, ActionKind.RESUME, i, i);
                                });
                case "leave" ->
                        who.forEach(
                                i -> {
                                    addAction(at, ActionKind.LEAVE, i, i);
                                    if (incident.forS() > 0) {
                                        addAction(
                                                Math.max(end, at + LEAVE_DURATION_S + 0.1),
                                                ActionKind.START,
                                                i,
                                                i);
                                    }
                                });
                case "release" -> {
                    double spacingS = who.isEmpty() ? 0 : incident.forS() / who.size();
                    int index = 0;
                    for (int i : who) {
                        addAction(at + spacingS * index, ActionKind.LEAVE, i, i);
                        addAction(
                                at
                                        + spacingS * index++
                                        + Math.max(spacingS, LEAVE_DURATION_S + 0.1),
                                ActionKind.START,
                                i,
                                i,
                                incident.disk());
                    }
                }
                case "join" -> {
                    int count = (int) incident.strength();
                    for (int i = 0; i < count; i++) {
                        int zone =
                                scenario.zoneOf(
                                        1
                                                + i
                                                        * scenario.members()
                                                        / Math.max(1, count)
                                                        % scenario.members());
                        addAction(
                                at + incident.forS() * i / Math.max(1, count),
                                ActionKind.START,
                                addSlot("j" + (slots.size() + 1), zone, ++lastAddress).number(),
                                lastAddress);
                    }
                }
                case "twin" ->
                        who.forEach(
                                i -> {
                                    Slot twin = addSlot("m" + i, scenario.zoneOf(i), ++lastAddress);
                                    addAction(at, ActionKind.START, twin.number(), lastAddress);
                                    if (incident.forS() > 0) {
                                        addAction(end, ActionKind.KILL, twin.number(), lastAddress);
                                    }
                                });
                case "cut" -> {
                    addFault(incident, FaultKind.CUT, who, others(who));
                    addFault(incident, FaultKind.CUT, others(who), who);
                }
                case "deaf" -> addFault(incident, FaultKind.CUT, others(who), who);
                case "mute" -> addFault(incident, FaultKind.CUT, who, others(who));
                case "one-way" -> addFault(incident, FaultKind.CUT, from, to);
                case "loss" -> addFault(incident, FaultKind.LOSS, from, to);
                case "delay" -> addFault(incident, FaultKind.DELAY, from, to);
                case "duplicate" -> addFault(incident, FaultKind.DUPLICATE, from, to);
                case "reorder" -> addFault(incident, FaultKind.REORDER, from, to);
                case "corrupt" -> addFault(incident, FaultKind.CORRUPT, from, to);
                case "crowd" -> addFault(incident, FaultKind.CROWD, Set.of(), who);
                case "flood" -> addFault(incident, FaultKind.FLOOD, Set.of(), who);
                case "full" -> addFault(incident, FaultKind.FULL, Set.of(), who);
                case "stall" -> addFault(incident, FaultKind.STALL, Set.of(), who);
                case "clock" -> addFault(incident, FaultKind.CLOCK, Set.of(), who);
                default ->
                        throw new MalformedException(
                                scenario.name() + ": unknown incident kind " + incident.what());
            }
        }
    }

    /**
     * Slots at either end of a cut link at this time. Others cannot distinguish them from failed
     * servers, so verdicts that involve them are not counted as false.
     */
    public Set<Integer> unreachableSlots(double seconds) {
        Set<Integer> all = new HashSet<>();
        for (Fault fault : faults) {
            if (!fault.isActiveAt(seconds)) {
                continue;
            }
            if (fault.kind == FaultKind.CUT) {
                all.addAll(fault.from);
                all.addAll(fault.to);
            }
        }
        return all;
    }
}
