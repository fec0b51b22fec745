package ochretiller.fleet.membership;

import java.util.Objects;

/**
 * All that is known of a member.
 *
 * @param address where its peers ask it
 * @param zone what it shares its troubles with
 * @param build the program that it runs
 * @param serviceAddress where it serves callers, or null
 * @param stateVersion grows each time the member itself answers what is said of it; only the member
 *     makes it grow
 */
public record Member(
        MemberId id,
        PeerAddress address,
        String zone,
        String build,
        PeerAddress serviceAddress,
        long stateVersion,
        MemberState state) {
    /** Longest name, zone or build in characters. */
    public static final int MAX_TEXT_LENGTH = 64;

    /** Guards against a peer that says less or more than a member is. */
    public Member {
        if (tooLong(id.name()) || tooLong(zone) || tooLong(build) || id.name().isEmpty()) {
            throw new IllegalArgumentException("a name is too long");
        }
        Objects.requireNonNull(address);
        Objects.requireNonNull(state);
        if (stateVersion < 0 || id.incarnation() == 0) {
            throw new IllegalArgumentException("a number is out of bounds");
        }
    }

    private static boolean tooLong(String text) {
        return text.length() > MAX_TEXT_LENGTH;
    }

    public long incarnation() {
        return id.incarnation();
    }

    Member withState(MemberState next, long nextNumber) {
        return new Member(id, address, zone, build, serviceAddress, nextNumber, next);
    }

    MembershipUpdate toUpdate(long by) {
        return new MembershipUpdate(incarnation(), stateVersion, state, by);
    }
}
