package ochretiller.emulator.fleet;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ochretiller.settings.MalformedException;

/**
 * What is played on a fleet. Members are numbered from 1, zones too; the first members are the
 * seeds.
 *
 * @param startS time over which the members start
 * @param copies whether the fleet keeps claims and results of tokened invocations; the drill's
 *     alone
 * @param store whether each server remembers results, and keeps its copies, on a disk
 * @param expect what is to come out
 */
public record FleetScenario(
        String name,
        double seconds,
        int members,
        int zones,
        int seeds,
        double startS,
        int probeMs,
        double delayMs,
        double jitterMs,
        boolean copies,
        boolean store,
        Load load,
        List<Incident> incidents,
        Expect expect) {
    /**
     * What callers send to all members together while it is played; the drill sends it, the
     * emulator has no callers here.
     */
    public record Load(double perSecond, double workMs) {}

    /**
     * One that happens.
     *
     * @param forS how long; for a kill, how long until it starts again, 0 for never
     * @param who members, as {@code all}, {@code 2-5}, {@code z1}, {@code 1/3} (the last third), or
     *     some of them with commas
     * @param from senders, for faults of links; all where it is empty
     * @param to receivers
     * @param strength share, milliseconds, count or rate, as its kind says; for an old disk, the
     *     seconds by which it is old
     * @param disk what a server finds that starts again: all it had, nothing, an image of some time
     *     ago, or all but its last bytes
     */
    public record Incident(
            double atS,
            double forS,
            String what,
            String who,
            String from,
            String to,
            double strength,
            Disk disk) {
        public Incident(
                double atS,
                double forS,
                String what,
                String who,
                String from,
                String to,
                double strength) {
            this(atS, forS, what, who, from, to, strength, Disk.KEPT);
        }
    }

    /** What is left of a disk. */
    public enum Disk {
        KEPT,
        EMPTY,
        OLD,
        CUT
    }

    /**
     * @param settledS longest time behind the last fault until all views are equal and right; 0 for
     *     no bound
     * @param falseVerdicts most verdicts on members that were alive and could be heard; negative
     *     for no bound
     * @param changesEach most times that one member counts as silent for another, for each fault;
     *     negative for no bound
     * @param valueShare least share of the billed value
     */
    public record Expect(double settledS, int falseVerdicts, int changesEach, double valueShare) {
        public static final Expect NOTHING = new Expect(0, -1, -1, 0);
    }

    /** The zone of a member, from 1: neighbours share one. */
    public int zone(int member) {
        return 1 + (member - 1) % members * zones / members;
    }

    /** The members that a text names. */
    public Set<Integer> members(String who) {
        Set<Integer> all = new TreeSet<>();
        if (who.isEmpty() || who.equals("all")) {
            for (int i = 1; i <= members; i++) {
                all.add(i);
            }
            return all;
        }
        for (String part : who.split(",")) {
            if (part.startsWith("z")) {
                int zone = Integer.parseInt(part.substring(1));
                for (int i = 1; i <= members; i++) {
                    if (zone(i) == zone) {
                        all.add(i);
                    }
                }
            } else if (part.contains("/")) {
                int count =
                        Math.max(
                                1,
                                members
                                        * (part.charAt(0) - '0')
                                        / Math.max(1, part.charAt(2) - '0'));
                for (int i = members - count + 1; i <= members; i++) {
                    all.add(i);
                }
            } else {
                int dash = part.indexOf('-');
                int first = Integer.parseInt(dash < 0 ? part : part.substring(0, dash));
                int last = dash < 0 ? first : Integer.parseInt(part.substring(dash + 1));
                for (int i = first; i <= last; i++) {
                    all.add(i);
                }
            }
        }
        if (all.isEmpty() || all.iterator().next() < 1 || all.stream().anyMatch(i -> i > members)) {
            throw new MalformedException(name + ": no members '" + who + "' among " + members);
        }
        return all;
    }

    /** The same with another number of members. */
    public FleetScenario sized(int count) {
        return new FleetScenario(
                name, seconds, count, zones, seeds, startS, probeMs, delayMs, jitterMs, copies,
                store, load, incidents, expect);
    }
}
