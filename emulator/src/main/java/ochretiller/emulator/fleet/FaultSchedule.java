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
 * @param lastS end of the last fault, in seconds
 */
public record FaultSchedule(
        List<Slot> slots, List<Action> actions, List<Fault> faults, double lastS) {
    /** An action on a process. */
    public enum Act {
        START,
        KILL,
        PAUSE,
        RESUME,
        LEAVE,
        IMAGE
    }

    /** A kind of fault of a link, or of a server's clock, disk or CPU. */
    public enum Link {
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
     * @param address index of the address on which the process listens after {@link Act#START}
     * @param disk disk contents at {@link Act#START}; {@link FleetScenario.Disk#OLD} restores the
     *     image that an earlier {@link Act#IMAGE} took
     */
    public record Action(double atS, Act act, int slot, int address, FleetScenario.Disk disk) {}

    /**
     * A fault of the links from some slots to others; a fault of servers affects those in {@code
     * to} and has an empty {@code from}.
     */
    public record Fault(
            double atS,
            double untilS,
            Link what,
            Set<Integer> from,
            Set<Integer> to,
            double strength) {
        boolean on(double seconds) {
            return seconds >= atS && seconds < untilS;
        }
    }

    /** Seconds within which a server that was asked to leave terminates. */
    public static final double LEAVES_S = 1.2;

    public static FaultSchedule of(FleetScenario scenario) {
        return new Builder(scenario).build();
    }

    private static final class Builder {
        private final FleetScenario scenario;
        private final List<Slot> slots = new ArrayList<>();
        private final List<Action> actions = new ArrayList<>();
        private final List<Fault> faults = new ArrayList<>();
        private int addresses;
        private double lastEndS;

        Builder(FleetScenario scenario) {
            this.scenario = scenario;
        }

        private Slot addSlot(String name, int zone, int address) {
            Slot slot = new Slot(slots.size() + 1, name, zone, address);
            slots.add(slot);
            return slot;
        }

        private void addAction(double atS, Act kind, int slot, int address) {
            addAction(atS, kind, slot, address, FleetScenario.Disk.KEPT);
        }

        private void addAction(double atS, Act kind, int slot, int address, FleetScenario.Disk disk) {
            actions.add(new Action(atS, kind, slot, address, disk));
            lastEndS = Math.max(lastEndS, atS);
        }

        private void addFault(
                FleetScenario.Incident each, Link kind, Set<Integer> from, Set<Integer> to) {
            faults.add(
                    new Fault(
                            each.atS(), each.atS() + each.forS(), kind, from, to, each.strength()));
            lastEndS = Math.max(lastEndS, each.atS() + each.forS());
        }

        private Set<Integer> others(Set<Integer> excluded) {
            Set<Integer> others = new TreeSet<>(scenario.members(""));
            others.removeAll(excluded);
            return others;
        }

        FaultSchedule build() {
            for (int i = 1; i <= scenario.members(); i++) {
                addSlot("m" + i, scenario.zone(i), ++addresses);
                actions.add(
                        new Action(
                                scenario.members() == 1
                                        ? 0
                                        : scenario.startS() * (i - 1) / (scenario.members() - 1),
                                Act.START,
                                i,
                                i,
                                FleetScenario.Disk.KEPT));
                lastEndS = scenario.startS();
            }
            for (FleetScenario.Incident each : scenario.incidents()) {
                expand(each);
            }
            actions.sort(Comparator.comparingDouble(Action::atS));
            return new FaultSchedule(
                    List.copyOf(slots), List.copyOf(actions), List.copyOf(faults), lastEndS);
        }

        private void expand(FleetScenario.Incident each) {
            double at = each.atS();
            double end = at + each.forS();
            Set<Integer> who = scenario.members(each.who());
            Set<Integer> from = scenario.members(each.from());
            Set<Integer> to = scenario.members(each.to());
            switch (each.what()) {
                case "kill" ->
                        who.forEach(
                                i -> {
                                    if (each.disk() == FleetScenario.Disk.OLD) {
                                        addAction(Math.max(0, at - each.strength()), Act.IMAGE, i, i);
                                    }
                                    addAction(at, Act.KILL, i, i);
                                    if (each.forS() > 0) {
                                        addAction(end, Act.START, i, i, each.disk());
                                    }
                                });
                case "move" ->
                        who.forEach(
                                i -> {
                                    addAction(at, Act.KILL, i, i);
                                    addAction(end, Act.START, i, ++addresses);
                                });
                case "take" ->
                        who.forEach(
                                i -> {
                                    addAction(at, Act.KILL, i, i);
                                    addAction(
                                            end,
                                            Act.START,
                                            addSlot("x" + i, scenario.zone(i), i).number(),
                                            i);
                                });
                case "pause" ->
                        who.forEach(
                                i -> {
                                    addAction(at, Act.PAUSE, i, i);
                                    addAction(end, Act.RESUME, i, i);
                                });
                case "leave" ->
                        who.forEach(
                                i -> {
                                    addAction(at, Act.LEAVE, i, i);
                                    if (each.forS() > 0) {
                                        addAction(Math.max(end, at + LEAVES_S + 0.1), Act.START, i, i);
                                    }
                                });
                case "release" -> {
                    double spacingS = who.isEmpty() ? 0 : each.forS() / who.size();
                    int index = 0;
                    for (int i : who) {
                        addAction(at + spacingS * index, Act.LEAVE, i, i);
                        addAction(
                                at + spacingS * index++ + Math.max(spacingS, LEAVES_S + 0.1),
                                Act.START,
                                i,
                                i,
                                each.disk());
                    }
                }
                case "join" -> {
                    int count = (int) each.strength();
                    for (int i = 0; i < count; i++) {
                        int zone =
                                scenario.zone(
                                        1
                                                + i
                                                        * scenario.members()
                                                        / Math.max(1, count)
                                                        % scenario.members());
                        addAction(
                                at + each.forS() * i / Math.max(1, count),
                                Act.START,
                                addSlot("j" + (slots.size() + 1), zone, ++addresses).number(),
                                addresses);
                    }
                }
                case "twin" ->
                        who.forEach(
                                i -> {
                                    Slot twin = addSlot("m" + i, scenario.zone(i), ++addresses);
                                    addAction(at, Act.START, twin.number(), addresses);
                                    if (each.forS() > 0) {
                                        addAction(end, Act.KILL, twin.number(), addresses);
                                    }
                                });
                case "cut" -> {
                    addFault(each, Link.CUT, who, others(who));
                    addFault(each, Link.CUT, others(who), who);
                }
                case "deaf" -> addFault(each, Link.CUT, others(who), who);
                case "mute" -> addFault(each, Link.CUT, who, others(who));
                case "one-way" -> addFault(each, Link.CUT, from, to);
                case "loss" -> addFault(each, Link.LOSS, from, to);
                case "delay" -> addFault(each, Link.DELAY, from, to);
                case "duplicate" -> addFault(each, Link.DUPLICATE, from, to);
                case "reorder" -> addFault(each, Link.REORDER, from, to);
                case "corrupt" -> addFault(each, Link.CORRUPT, from, to);
                case "crowd" -> addFault(each, Link.CROWD, Set.of(), who);
                case "flood" -> addFault(each, Link.FLOOD, Set.of(), who);
                case "full" -> addFault(each, Link.FULL, Set.of(), who);
                case "stall" -> addFault(each, Link.STALL, Set.of(), who);
                case "clock" -> addFault(each, Link.CLOCK, Set.of(), who);
                default -> throw new MalformedException(scenario.name() + ": unknown " + each.what());
            }
        }
    }

    /**
     * Slots at either end of a cut link at this time. Others cannot distinguish them from failed
     * servers, so verdicts that involve them are not counted as false.
     */
    public Set<Integer> unheard(double seconds) {
        Set<Integer> all = new HashSet<>();
        for (Fault fault : faults) {
            if (!fault.on(seconds)) {
                continue;
            }
            if (fault.what == Link.CUT) {
                all.addAll(fault.from);
                all.addAll(fault.to);
            }
        }
        return all;
    }
}
