package ochretiller.emulator.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ochretiller.settings.MalformedException;

/**
 * A script as what is done when: to processes, and to links between them. Played alike on virtual
 * servers and on processes.
 *
 * @param slots all servers that are ever started, newcomers among them
 * @param actions in the order of their times
 * @param lastS when the last fault is over
 */
public record FaultSchedule(
        List<Slot> slots, List<Action> actions, List<Fault> faults, double lastS) {
    /** What is done to a process. */
    public enum Act {
        START,
        KILL,
        PAUSE,
        RESUME,
        LEAVE,
        IMAGE
    }

    /** What a link does. */
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
     * @param number from 1; those of the script come first
     * @param address a number for each address, shared by servers that have it one after the other
     */
    public record Slot(int number, String name, int zone, int address) {}

    /**
     * @param address where a {@link Act#START} has it listen
     * @param disk what a {@link Act#START} finds; for an old one an {@link Act#IMAGE} was taken
     *     before
     */
    public record Action(double atS, Act act, int slot, int address, FleetScenario.Disk disk) {}

    /** A fault of links, from senders to receivers, or of servers ({@code to}). */
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

    /** Time over which a server that was told to leave ends. */
    public static final double LEAVES_S = 1.2;

    public static FaultSchedule of(FleetScenario script) {
        return new Builder(script).build();
    }

    private static final class Builder {
        private final FleetScenario script;
        private final List<Slot> slots = new ArrayList<>();
        private final List<Action> actions = new ArrayList<>();
        private final List<Fault> faults = new ArrayList<>();
        private int addresses;
        private double last;

        Builder(FleetScenario script) {
            this.script = script;
        }

        private Slot slot(String name, int zone, int address) {
            Slot slot = new Slot(slots.size() + 1, name, zone, address);
            slots.add(slot);
            return slot;
        }

        private void act(double at, Act act, int slot, int address) {
            act(at, act, slot, address, FleetScenario.Disk.KEPT);
        }

        private void act(double at, Act act, int slot, int address, FleetScenario.Disk disk) {
            actions.add(new Action(at, act, slot, address, disk));
            last = Math.max(last, at);
        }

        private void fault(
                FleetScenario.Incident each, Link what, Set<Integer> from, Set<Integer> to) {
            faults.add(
                    new Fault(
                            each.atS(), each.atS() + each.forS(), what, from, to, each.strength()));
            last = Math.max(last, each.atS() + each.forS());
        }

        private Set<Integer> others(Set<Integer> these) {
            Set<Integer> others = new TreeSet<>(script.members(""));
            others.removeAll(these);
            return others;
        }

        FaultSchedule build() {
            for (int i = 1; i <= script.members(); i++) {
                slot("m" + i, script.zone(i), ++addresses);
                actions.add(
                        new Action(
                                script.members() == 1
                                        ? 0
                                        : script.startS() * (i - 1) / (script.members() - 1),
                                Act.START,
                                i,
                                i,
                                FleetScenario.Disk.KEPT));
                last = script.startS();
            }
            for (FleetScenario.Incident each : script.incidents()) {
                expand(each);
            }
            actions.sort(Comparator.comparingDouble(Action::atS));
            return new FaultSchedule(
                    List.copyOf(slots), List.copyOf(actions), List.copyOf(faults), last);
        }

        private void expand(FleetScenario.Incident each) {
            double at = each.atS();
            double end = at + each.forS();
            Set<Integer> who = script.members(each.who());
            Set<Integer> from = script.members(each.from());
            Set<Integer> to = script.members(each.to());
            switch (each.what()) {
                case "kill" ->
                        who.forEach(
                                i -> {
                                    if (each.disk() == FleetScenario.Disk.OLD) {
                                        act(Math.max(0, at - each.strength()), Act.IMAGE, i, i);
                                    }
                                    act(at, Act.KILL, i, i);
                                    if (each.forS() > 0) {
                                        act(end, Act.START, i, i, each.disk());
                                    }
                                });
                case "move" ->
                        who.forEach(
                                i -> {
                                    act(at, Act.KILL, i, i);
                                    act(end, Act.START, i, ++addresses);
                                });
                case "take" ->
                        who.forEach(
                                i -> {
                                    act(at, Act.KILL, i, i);
                                    act(
                                            end,
                                            Act.START,
                                            slot("x" + i, script.zone(i), i).number(),
                                            i);
                                });
                case "pause" ->
                        who.forEach(
                                i -> {
                                    act(at, Act.PAUSE, i, i);
                                    act(end, Act.RESUME, i, i);
                                });
                case "leave" ->
                        who.forEach(
                                i -> {
                                    act(at, Act.LEAVE, i, i);
                                    if (each.forS() > 0) {
                                        act(Math.max(end, at + LEAVES_S + 0.1), Act.START, i, i);
                                    }
                                });
                case "release" -> {
                    double each1 = who.isEmpty() ? 0 : each.forS() / who.size();
                    int n = 0;
                    for (int i : who) {
                        act(at + each1 * n, Act.LEAVE, i, i);
                        act(
                                at + each1 * n++ + Math.max(each1, LEAVES_S + 0.1),
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
                                script.zone(
                                        1
                                                + i
                                                        * script.members()
                                                        / Math.max(1, count)
                                                        % script.members());
                        act(
                                at + each.forS() * i / Math.max(1, count),
                                Act.START,
                                slot("j" + (slots.size() + 1), zone, ++addresses).number(),
                                addresses);
                    }
                }
                case "twin" ->
                        who.forEach(
                                i -> {
                                    Slot twin = slot("m" + i, script.zone(i), ++addresses);
                                    act(at, Act.START, twin.number(), addresses);
                                    if (each.forS() > 0) {
                                        act(end, Act.KILL, twin.number(), addresses);
                                    }
                                });
                case "cut" -> {
                    fault(each, Link.CUT, who, others(who));
                    fault(each, Link.CUT, others(who), who);
                }
                case "deaf" -> fault(each, Link.CUT, others(who), who);
                case "mute" -> fault(each, Link.CUT, who, others(who));
                case "one-way" -> fault(each, Link.CUT, from, to);
                case "loss" -> fault(each, Link.LOSS, from, to);
                case "delay" -> fault(each, Link.DELAY, from, to);
                case "duplicate" -> fault(each, Link.DUPLICATE, from, to);
                case "reorder" -> fault(each, Link.REORDER, from, to);
                case "corrupt" -> fault(each, Link.CORRUPT, from, to);
                case "crowd" -> fault(each, Link.CROWD, Set.of(), who);
                case "flood" -> fault(each, Link.FLOOD, Set.of(), who);
                case "full" -> fault(each, Link.FULL, Set.of(), who);
                case "stall" -> fault(each, Link.STALL, Set.of(), who);
                case "clock" -> fault(each, Link.CLOCK, Set.of(), who);
                default -> throw new MalformedException(script.name() + ": unknown " + each.what());
            }
        }
    }

    /**
     * Slots for which something is wrong now that others cannot tell from silence: what they think
     * of them is no fault of theirs.
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
