package ochretiller.emulator.fleet;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ochretiller.settings.MalformedException;

/**
 * A fleet with its incidents and expected results. Members and zones are numbered from 1; the first
 * members are the seeds.
 *
 * @param startS seconds over which the starts of the members are spread
 * @param probeMs interval between membership probes, in milliseconds
 * @param copies whether the fleet replicates claims and results of keyed invocations; used by the
 *     drill only
 * @param store whether each server stores its results and replicated entries on disk
 * @param expect the expected results
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
     * Load from clients on all members together, used by the drill only.
     *
     * @param perSecond invocations a second
     * @param workMs duration of a run, in milliseconds
     */
    public record Load(double perSecond, double workMs) {}

    /**
     * A fault of processes or links.
     *
     * @param atS start time in seconds
     * @param forS duration in seconds; for a kill, the time until the restart, 0 for no restart
     * @param what kind of fault, for example {@code kill} or {@code loss}
     * @param who members, as {@code all}, {@code 2-5}, {@code z1}, {@code 1/3} (the last third), or
     *     several of these separated by commas
     * @param from senders, for faults of links; all members if empty
     * @param to receivers, for faults of links; all members if empty
     * @param strength share, milliseconds, count or rate, depending on the kind; for an old disk,
     *     its age in seconds
     * @param disk state of the disk at a restart
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

    /** State of a disk at a restart: unchanged, empty, an older image, or cut at the end. */
    public enum Disk {
        KEPT,
        EMPTY,
        OLD,
        CUT
    }

    /**
     * Bounds on the results of a scenario.
     *
     * @param settledS maximum seconds from the last fault until all views are equal and correct; 0
     *     for no bound
     * @param falseVerdicts maximum number of verdicts on members that were alive and reachable;
     *     negative for no bound
     * @param changesEach maximum number of verdicts of one member on the same other member;
     *     negative for no bound
     * @param valueShare minimum share of the billed value
     */
    public record Expect(double settledS, int falseVerdicts, int changesEach, double valueShare) {
        public static final Expect UNBOUNDED = new Expect(0, -1, -1, 0);
    }

    /** The zone of a member, from 1; each zone is a contiguous range of members. */
    public int zoneOf(int member) {
        return 1 + (member - 1) % members * zones / members;
    }

    /**
     * Parses a member selection, see {@link Incident#who()}.
     *
     * @throws MalformedException if it selects no member or one that does not exist
     */
    public Set<Integer> members(String who) {
        Set<Integer> ids = new TreeSet<>();
        if (who.isEmpty() || who.equals("all")) {
            for (int i = 1; i <= members; i++) {
                ids.add(i);
            }
            return ids;
        }
        for (String part : who.split(",")) {
            if (part.startsWith("z")) {
                int zone = Integer.parseInt(part.substring(1));
                for (int i = 1; i <= members; i++) {
                    if (zoneOf(i) == zone) {
                        ids.add(i);
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
                    ids.add(i);
                }
            } else {
                int dash = part.indexOf('-');
                int first = Integer.parseInt(dash < 0 ? part : part.substring(0, dash));
                int last = dash < 0 ? first : Integer.parseInt(part.substring(dash + 1));
                for (int i = first; i <= last; i++) {
                    ids.add(i);
                }
            }
        }
        if (ids.isEmpty() || ids.iterator().next() < 1 || ids.stream().anyMatch(i -> i > members)) {
            throw new MalformedException(name + ": no members '" + who + "' among " + members);
        }
        return ids;
    }

    /** Returns this scenario with another number of members. */
    public FleetScenario withMembers(int count) {
        return new FleetScenario(
                name, seconds, count, zones, seeds, startS, probeMs, delayMs, jitterMs, copies,
                store, load, incidents, expect);
    }
}
