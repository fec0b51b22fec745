package ochretiller.fleet.members;

import java.util.Objects;

/**
 * All that is known of a member.
 *
 * @param address where its peers ask it
 * @param zone what it shares its troubles with
 * @param build the program that it runs
 * @param serves where it serves callers, or null
 * @param number grows each time the member itself answers what is said of it; only the member makes
 *     it grow
 */
public record Member(
        MemberId id,
        Address address,
        String zone,
        String build,
        Address serves,
        long number,
        State state) {
    /** Longest name, zone or build in characters. */
    public static final int LONGEST = 64;

    /** Guards against a peer that says less or more than a member is. */
    public Member {
        if (tooLong(id.name()) || tooLong(zone) || tooLong(build) || id.name().isEmpty()) {
            throw new IllegalArgumentException("a name is too long");
        }
        Objects.requireNonNull(address);
        Objects.requireNonNull(state);
        if (number < 0 || id.start() == 0) {
            throw new IllegalArgumentException("a number is out of bounds");
        }
    }

    private static boolean tooLong(String text) {
        return text.length() > LONGEST;
    }

    public long start() {
        return id.start();
    }

    Member as(State next, long nextNumber) {
        return new Member(id, address, zone, build, serves, nextNumber, next);
    }

    Entry entry(long by) {
        return new Entry(start(), number, state, by);
    }
}
