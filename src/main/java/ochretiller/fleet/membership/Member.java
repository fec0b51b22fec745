package ochretiller.fleet.membership;

import java.util.Objects;
import java.util.Optional;

/**
 * A member's record, as it describes itself and as it is sent between servers.
 *
 * @param address where its peers reach it
 * @param zone the failure domain that it shares with others
 * @param build the program that it runs
 * @param serviceAddress where it serves callers, if it does
 * @param stateVersion SWIM's incarnation number: raised each time the member itself answers what is
 *     said of it, and by the member only
 */
public record Member(
        MemberId id,
        PeerAddress address,
        String zone,
        String build,
        Optional<PeerAddress> serviceAddress,
        long stateVersion,
        MemberState state) {
    /** Longest name, zone or build in characters. */
    public static final int MAX_TEXT_LENGTH = 64;

    /**
     * Guards against a peer that sends what no member can be.
     *
     * @throws IllegalArgumentException if a text is too long or a number out of bounds
     */
    public Member {
        requireText("name", id.name());
        requireText("zone", zone);
        requireText("build", build);
        if (id.name().isEmpty()) {
            throw new IllegalArgumentException("a member without a name");
        }
        Objects.requireNonNull(address);
        Objects.requireNonNull(serviceAddress);
        Objects.requireNonNull(state);
        if (stateVersion < 0 || id.incarnation() == 0) {
            throw new IllegalArgumentException(
                    "out of bounds: state version "
                            + stateVersion
                            + ", incarnation "
                            + id.incarnation());
        }
    }

    private static void requireText(String what, String text) {
        if (text.length() > MAX_TEXT_LENGTH) {
            throw new IllegalArgumentException(
                    what + " has " + text.length() + " of at most " + MAX_TEXT_LENGTH);
        }
    }

    /** The incarnation of its process. */
    public long incarnation() {
        return id.incarnation();
    }

    /** The same member in another state, at another state version. */
    Member withState(MemberState nextState, long nextStateVersion) {
        return new Member(id, address, zone, build, serviceAddress, nextStateVersion, nextState);
    }

    /** What is said of it to those who have its record. */
    MembershipUpdate toUpdate(long accuser) {
        return new MembershipUpdate(incarnation(), stateVersion, state, accuser);
    }
}
